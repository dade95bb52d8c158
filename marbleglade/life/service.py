"""One front of the platform. This file only puts the parts together."""

from __future__ import annotations

import gc
import os
import signal

import gevent
from gevent import socket

from ..choice import Choice
from ..facade import Facade
from ..fleet.hearsay import Hearsay
from ..front import Front
from ..memory.copies import Copies
from ..memory.places import Places
from ..memory.purges import Purges, lasting
from ..memory.room import Room
from ..wire.caches import Caches
from ..wire.clients import LINGER, Clients
from ..wire.coordinator import BEAT, Follower
from ..wire.peers import Peers
from . import assignment, clock, early
from .counters import Counters
from .guard import Guard
from .log import Log
from .renewal import Renewals
from .stop import Stop

SECOND = 1_000_000_000


def run(told: assignment.Assignment) -> None:
    around, ground = told.around, told.around.ground
    counters = Counters()
    log = Log(told.name, counters, bool(os.environ.get("MARBLEGLADE_DEBUG")))
    guard = Guard(counters, log)
    stop = Stop(max(profile.client_timeout for profile in ground.profiles))

    # Shares of the limits: a sixth of the memory for bodies, which are held up to three times over while they
    # are passed on, a sixth for copies, and half of that for what clients send; a third of the descriptors
    # for clients and half for connections to caches. The rest is for the process itself and for a margin.
    room = Room(told.memory // 6)
    places, purges = Places(around, clock.from_unix_ms), Purges(lasting(ground))
    facade = Facade(
        ground, Choice, clock.now, around.most_open, counters, lambda text: log.say("note", text=text)
    )
    caches = Caches(
        places.by_cache,
        room,
        told.descriptors // 2,
        around.connect_timeout,
        around.idle_close,
        around.streams,
        clock.now,
        guard,
        lambda retrieval, since: purges.since(retrieval.object, retrieval.group, since),
    )
    front = Front(facade, caches, places, purges, Copies(told.memory // 6), told.pace, guard)
    clients = Clients(
        front,
        told.descriptors // 3,
        told.memory // 12,
        around.answer_slack,
        lambda: not (stop.asked_at or (orders and orders.going)),
        clock.now,
        guard,
    )
    for event in told.known:
        guard.run("known", front.apply, event)
    follower = Follower(told.coordinator, told.last, front.follow, guard)
    peers = None
    work = [follower.run, front.probe]
    if around.peer_messages and told.peer_listen and told.peers:
        hearsay = Hearsay(int(BEAT * SECOND), ground.purge_time * 2, clock.now())
        peers = Peers(
            told.peer_listen,
            told.peers,
            ground.seed,
            hearsay,
            front.heed,
            lambda: follower.heard_at,
            guard,
            told.peers_all,
        )
        front.told, front.unsaid = peers.told, hearsay.unsaid
        work.append(peers.run)
    fleet = orders = None
    if peers and (text := os.environ.get("MARBLEGLADE_FLEET")) and told.peer_listen in told.peers:
        from ..fleet.reading import read as read_part
        from ..fleet.shell import Shell

        fleet = Shell(
            told.name,
            read_part(text).beat_ms * 1_000_000,
            facade,
            front,
            peers,
            log.say,
            os.environ.get("MARBLEGLADE_WORK", ""),
        )
        orders = fleet.work

    def tell() -> None:
        log.say(
            "counters",
            counts=counters.table(),
            open=len(facade.open),
            clients=len(clients.clients),
            cache_connections=caches.count,
            places=front.survey(),
            **({"fleet": fleet.together.survey(clock.now())} if fleet else {}),
            **({"work": orders.survey()} if orders else {}),
        )

    def leave() -> None:
        stop.ask(clock.now())
        log.say("stopping", open=len(facade.open))
        if fleet:
            guard.run("fleet", fleet.leave)

    renewals = Renewals(os.environ, told.fixed, told.kin, follower, peers, log)

    def renew() -> None:
        guard.run("renewal", renewals.renew)
        if orders:
            guard.run("renewal", fleet.reread)

    gevent.signal_handler(signal.SIGHUP, renew)
    gevent.signal_handler(signal.SIGUSR1, tell)
    gevent.signal_handler(signal.SIGTERM, leave)
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(told.listen)
    listener.listen(told.descriptors)
    for one in work:
        gevent.spawn(one)
    accepting = gevent.spawn(clients.accept, listener)
    gc.freeze()  # what a front starts with stays; the collector need not look at it again
    log.say("ready", places=len(places.by_id), last=told.last)
    for number in early.came:
        renew() if number == signal.SIGHUP else tell()

    swept = clock.now()
    while True:
        if stop.over(clock.now(), len(facade.open) or clients.owed) and (
            stop.given_up(clock.now()) or not clients.unheard(listener)
        ):
            break
        due = guard.run("tick", facade.tick) or clock.now() + ground.resolution
        if clock.now() - swept >= SECOND // 4:
            swept = clock.now()
            guard.run("sweep", caches.sweep)
            guard.run("sweep", clients.sweep)
            if peers:
                guard.run("sweep", peers.turn)
            if fleet:
                guard.run("fleet", fleet.turn)
        if orders and orders.going:
            guard.run("work", orders.empty, clock.now())
        if stop.given_up(clock.now()):
            guard.run("last_call", facade.last_call)
        gevent.sleep(max(0, due - clock.now()) / 1e9)
        if clock.now() - due > ground.resolution:
            counters.add("timer.late")
    # Nothing is owed and all that came was looked at; nothing has had its turn since, so no more was taken.
    accepting.kill(block=False)
    listener.close()
    clients.farewell()
    until = clock.now() + LINGER
    while clients.parting and clock.now() < until:
        gevent.sleep(ground.resolution / 1e9)
    tell()
