"""Crossings over loopback: something ends at the very instant at which something is still owed on it.

`docs/crossings.md` has a line for each. The order of events is forced by stand-ins that hold and release
bytes, and by calls into the doors, never by waiting for luck.
"""

import json
import os
import signal
import subprocess
import sys
import time
from contextlib import suppress

import gevent
import orjson
import pytest
from gevent import socket
from gevent.event import Event

from marbleglade.choice import Choice
from marbleglade.facade import End, Facade, Go
from marbleglade.gateway.connection import Connection
from marbleglade.ground import MissingSettingError, read_ground
from marbleglade.interface import NEVER_RAN, Held, Outcome, Repeat, Retrieval, State
from marbleglade.life import assignment
from marbleglade.memory.copies import Copy
from marbleglade.memory.places import Places
from marbleglade.runtime import clock
from marbleglade.runtime.counters import Counters
from marbleglade.runtime.stop import Stop
from marbleglade.standins.regions import free_port
from marbleglade.wire import caches as caches_wire
from marbleglade.wire import coordinator as coordinator_wire
from marbleglade.wire.caches import Line, Pool
from marbleglade.wire.clients import Client
from marbleglade.wire.coordinator import Follower
from marbleglade.wire.coordlines import ListChange, Member, Purge
from marbleglade.wire.peers import Peers

from . import test_life
from .conftest import MS, OPTIONS, WAIT, Paper, Server, front, full, until, words  # noqa: F401  (the fixtures)
from .test_connections import answering, ask, serve, world  # noqa: F401
from .test_life import program, told  # noqa: F401

TRACE = b"9b1f03aa5c7e2d41"


# Settings of other customers.


@pytest.mark.parametrize(
    "kept, said, answer",
    [
        (False, b"HIT - 2\r\nok\r\n", (b"7", b"ok", b"", b"ok")),
        (False, b"HIT remark=MISS_ORIGIN,report=x1:2 0\r\n\r\n", (b"7", b"ok", b"", b"")),
        (False, b"HIT entity=4be0c1927d55a6f3,issued=5 1\r\nx\r\n", (b"7", b"ok", b"", b"x")),
        (False, b"HIT issued=5 1\r\nx\r\n", (b"7", b"full", b"pause=40", b"")),
        (True, b"HIT - 2\r\nok\r\n", (b"7", b"full", b"pause=40", b"")),
    ],
)
def test_what_no_cache_keeps_is_answered_without_a_copys_tag(world, kept, said, answer):  # noqa: F811
    world.facade.decisions.ground.profiles[0].never_kept = not kept
    sock = world.client()
    sock.sendall(ask(world, 7))
    world.server.heard(1)
    world.server.socks[0].sendall(TRACE + b" " + said)
    assert sock.recv(4096) == words(*answer) and not world.copies.kept


def test_what_has_to_run_is_never_answered_with_the_fronts_own_copy(world):  # noqa: F811
    script = world.facade.decisions
    launch = script.take
    script.take = lambda one: world.facade.settle(one) if one.held else launch(one)
    sock = serve(world, TRACE + b" HIT entity=4be0c1927d55a6f3,issued=5 4\r\nbody\r\n")
    sock.recv(4096)
    script.ground.profiles[0].never_kept = True
    sock.sendall(ask(world, 8, "0000000000000008"))
    assert world.server.heard(2).startswith("do 0000000000000008")


def test_the_mark_of_a_receipted_retrieval_goes_on_to_the_cache(world):  # noqa: F811
    sock = serve(world, TRACE + b" HIT - 2\r\nok\r\n", more=",nonce=a31c3d6cffc90fc47fc97a47e35d8a29")
    assert sock.recv(4096) == words(b"7", b"ok", b"", b"ok")
    assert ",replay=a31c3d6cffc90fc47fc97a47e35d8a29 0" in world.server.said[0]
    assert full(b" HIT - ") != b" HIT - "


def settings(*path, value):
    """The usual settings with one thing changed; `GONE` takes it away."""
    new = orjson.loads(orjson.dumps(OPTIONS))
    at = new
    for step in path[:-1]:
        at = at[step]
    if value is GONE:
        del at[path[-1]]
    else:
        at[path[-1]] = value
    return new


GONE = object()
ONE = ("Classes", 0)


@pytest.mark.parametrize(
    "path, value, named",
    [
        (("Classes",), [], "Classes"),
        (("Classes",), [7], "Classes[0]"),
        (("Zone",), -1, "Zone"),
        (("Zone",), 1.5, "Zone"),
        (("Zone",), True, "Zone"),
        *(
            (ONE + (key,), value, f"Classes[0].{key}")
            for key, value in (
                ("Deadline", 0),
                ("Deadline", -5),
                ("Deadline", 1e300),
                ("Deadline", GONE),
                ("Aim", 0),
                ("Aim", True),
                ("AimStretch", "x"),
                ("AimStretch", -1),
                ("Gain", []),
                ("KeyTtl", -1),
                ("Repeat", "maybe"),
                ("Group", []),
                ("Name", ""),
                ("Name", "a,b"),
                ("Name", "a b"),
                ("Name", "a=b"),
            )
        ),
        *(
            (("Limits", key), value, f"Limits.{key}")
            for key, value in (
                ("MaxAttempts", 0),
                ("MaxAttempts", 2.5),
                ("ConnectTimeout", -1),
                ("MaxOpen", -1),
                ("StreamsPerConn", {}),
            )
        ),
        (("Resolution",), 0, "Resolution"),
        (("Rules", "ColdFrom"), -1, "Rules.ColdFrom"),
        (("Rules", "Cold"), GONE, "Rules.Cold"),
        *(
            (("Specifics", key), value, f"Specifics.{key}")
            for key, value in (
                ("MaxAge", ["x"]),
                ("OneFlowKbPerS", "x"),
                ("CrewByZone", [1, -2]),
                ("ParentKind", -2),
            )
        ),
        (("Skus",), "box", "Skus"),
        (("Dcs",), [1], "Dcs"),
        (("Report",), ["x1"], "Report"),
    ],
)
def test_an_absurd_setting_is_named_and_not_guessed(path, value, named):
    with pytest.raises(MissingSettingError) as trouble:
        read_ground(settings(*path, value=value), 7)
    assert named in str(trouble.value) and "\n" not in str(trouble.value)


def test_a_receipted_profile_needs_a_window_and_a_name_stands_once():
    for new in (
        settings(*ONE, value=OPTIONS["Classes"][0] | {"Repeat": "guarded", "KeyTtl": None}),
        settings("Classes", value=OPTIONS["Classes"] * 2),
    ):
        with pytest.raises(MissingSettingError, match="KeyTtl|twice"):
            read_ground(new, 7)


@pytest.mark.parametrize(
    "changes",
    [
        dict(limits={"memory_mb": 0, "sockets": 300}),
        dict(limits={"memory_mb": 64, "sockets": 0}),
        dict(limits={"memory_mb": 64, "sockets": 1e300}),
        dict(limits=[]),
        dict(known={"index": -1, "updates": []}),
        dict(flow_bytes_per_s=-1),
        dict(link_bytes_per_s="x"),
        dict(peers=["nowhere"]),
        dict(known=[]),
    ],
)
def test_an_absurd_assignment_is_named(tmp_path, changes):
    (tmp_path / "c.json").write_text(json.dumps(told(**changes)))
    with pytest.raises(
        assignment.InvalidConfigurationError, match="|".join(("limits", "known", "bytes_per_s", "peers"))
    ):
        assignment.read({"GW_CONFIG": str(tmp_path / "c.json")})


@pytest.mark.parametrize(
    "path, value",
    [
        *(
            (("Limits", key), GONE)
            for key in (
                "MaxRetryAfter",
                "RetryAfter",
                "ConnectTimeout",
                "IdleClose",
                "StreamsPerConn",
                "PeerMessages",
            )
        ),
        (("Limits", "ConnectTimeout"), 0.0),
        (("Dcs",), GONE),
        (("Dcs",), []),
        (("Skus",), GONE),
        (("Specifics", "ParentKind"), GONE),
        (("Specifics", "ParentKind"), -1),
        (("Specifics", "Sideways"), GONE),
        (("Specifics", "OneFlowKbPerS"), GONE),
        (("Specifics", "Tells"), GONE),
        (("Rules", "AnswerSlack"), GONE),
        (ONE + ("Deadline",), 300.0),
        (ONE + ("Deadline",), 30_000.0),
        (ONE + ("Name",), "зимний-план"),
        (("Report",), None),
        (("Classes",), [OPTIONS["Classes"][0] | {"Name": f"p{n}"} for n in range(40)]),
        (ONE, OPTIONS["Classes"][0] | {"Repeat": "single_shot"}),
        (ONE, OPTIONS["Classes"][0] | {"Repeat": "guarded", "Group": "cell"}),
    ],
)
@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.UNREACHED])
def test_what_another_customer_leaves_out_or_chooses_is_served_all_the_same(path, value, outcome):
    around = read_ground(settings(*path, value=value), 7)
    assert around.connect_timeout > 0 and around.streams > 0
    places, counters = Places(around, clock.from_unix_ms), Counters()
    facade = Facade(around.ground, Choice, clock.now, 0, counters, lambda text: None)
    rows = [("s1", "z", "box"), ("s2", "z", "box"), ("h1", "hubs", "hub"), ("o1", "hubs", "root")]
    change = ListChange(
        1, True, [Member(id, ("127.0.0.1", 9), zone, kind, 0, "active", 0) for id, zone, kind in rows]
    )
    facade.listed(places.apply(change)[0], True)
    for profile in around.ground.profiles:
        now = clock.now()
        one = Retrieval(profile, 9, 0, 4, 0.0, now, now + profile.client_timeout)
        step = facade.pick(one)
        assert isinstance(step, Go)
        while isinstance(step, Go):
            facade.report(step, outcome)
            step = facade.pick(one)
        assert step.end is (End.SETTLED if outcome is Outcome.OK else End.PUSHED_BACK)
        facade.close(one)
    facade.tick()
    assert not len(facade.open)


@pytest.mark.parametrize(
    "link, width",
    [
        ({}, 1.0),
        ({"link_bytes_per_s": 0}, 1.0),
        ({"link_bytes_per_s": None}, 1.0),
        ({"link_bytes_per_s": 4000}, 4.0),
        ({"link_bytes_per_s": 500}, 0.5),
    ],
)
def test_own_copies_are_given_where_the_fronts_own_link_is_not_told(tmp_path, link, width):
    """What one transfer runs at is told, what all share is not: a copy was kept, each ask for it failed."""
    (tmp_path / "c.json").write_text(json.dumps(told(flow_bytes_per_s=1000, **link)))
    ground = assignment.read({"GW_CONFIG": str(tmp_path / "c.json")}).around.ground
    assert ground.own_width == width
    one = Paper(own_width=ground.own_width, fresh=60_000 * MS)
    one.ask(held=Held(MS, one.clock, None))
    assert one.said[-1][0] == "settle"


def test_a_file_of_another_deployment_changes_nothing_and_is_named(program, tmp_path):  # noqa: F811
    process, door, cache, coordinator = program
    file, other = tmp_path / "c.json", Server()
    new = json.loads(file.read_text()) | {"coordinator": ":".join(map(str, other.address))}
    new["settings"]["Classes"][0]["Name"] = "theirs"
    new["known"]["updates"].append({"index": 3, "evict": {"shard": 9, "unix_ms": 5}})
    file.write_text(json.dumps(new))
    process.send_signal(signal.SIGHUP)
    while (line := orjson.loads(process.stderr.readline()))["event"] != "renewal":
        pass
    assert "another deployment" in line["unfit"] and other.said == [] and coordinator.said == ["follow 2"]
    sock = socket.create_connection(door)
    sock.sendall(test_life.ask(2, 2))
    assert cache.heard(1).startswith("do 0000000000000002")
    other.close()


# The end of a front.


def silent(sock):
    """Nothing came, and the connection is open."""
    with gevent.Timeout(0.02, False):
        return sock.recv(1) == "never"
    return True


def own(world, size, thing=0x7F3A9C21E0B4D655):  # noqa: F811
    """The front holds a copy of its own and gives it whenever it is shown one."""
    world.copies.size = 10 * size
    world.copies.put(thing, 3, Copy(b"x" * size, "4be0c1927d55a6f3", clock.now(), 17), 0)
    script = world.facade.decisions
    launch = script.take
    script.take = lambda one: world.facade.settle(one) if one.held else launch(one)


def read(sock, size):
    got = b""
    while len(got) < size and (data := sock.recv(1 << 16)):
        got += data
    return got


def slow_reader(world):  # noqa: F811
    """A client that has not read yet, on a connection that holds little."""
    sock = socket.socket()
    sock.settimeout(WAIT)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(world.door.getsockname())
    world.socks.append(sock)
    until(lambda: world.clients.clients)
    client = list(world.clients.clients)[-1]
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return sock, client


def test_an_answer_of_the_door_that_is_half_written_is_owed_though_nothing_is_open(world):  # noqa: F811
    own(world, 60_000)
    sock, client = slow_reader(world)
    sock.sendall(ask(world, 7))
    until(lambda: client.flushing)
    assert not len(world.facade.open) and world.clients.owed
    stop = Stop(2500 * MS)
    stop.ask(0)
    assert not stop.over(1000 * MS, len(world.facade.open) or world.clients.owed)
    whole = words(b"7", b"ok", b"", b"x" * 60_000)
    assert read(sock, len(whole)) == whole
    until(lambda: not world.clients.owed)


def test_what_lies_unread_at_the_end_is_taken_in_and_answered_and_can_be_read(program):  # noqa: F811
    process, door, cache, coordinator = program
    sock = socket.create_connection(door)
    sock.settimeout(WAIT)
    sock.sendall(words(b"STATUS", b"1", b""))
    sock.recv(100)
    process.send_signal(signal.SIGTERM)
    while orjson.loads(process.stderr.readline())["event"] != "stopping":
        pass
    os.kill(process.pid, signal.SIGSTOP)  # from here on nothing is looked at, and all of it is taken
    sock.sendall(test_life.ask(2, 2))
    late = socket.create_connection(door)
    late.settimeout(WAIT)
    late.sendall(test_life.ask(1, 3))
    time.sleep(0.9)  # the time in which clients may come is over when it goes on
    os.kill(process.pid, signal.SIGCONT)
    cache.heard(2)
    for line, back in zip(cache.said, cache.asks, strict=True):
        back.sendall(full(line.split()[1].encode() + b" HIT - 2\r\nok\r\n"))
    assert sock.recv(4096) == words(b"2", b"ok", b"", b"ok") and sock.recv(10) == b""
    assert late.recv(4096) == words(b"1", b"ok", b"", b"ok") and late.recv(10) == b""
    until(lambda: process.poll() is not None)
    assert process.returncode == 0


def test_what_crosses_the_goodbye_does_not_take_written_answers_along(world):  # noqa: F811
    own(world, 2_000)
    sock = world.client()
    sock.sendall(ask(world, 7))
    until(lambda: world.counters.counts["answer.ok"] and not world.clients.owed)
    sock.sendall(words(b"STATUS", b"9", b"") * 50)  # crosses it: the reader has its turn at the next wait
    world.clients.farewell()
    assert read(sock, 1 << 16) == words(b"7", b"ok", b"", b"x" * 2_000)  # and then an end, no reset
    sock.close()
    until(lambda: not world.clients.parting)


def test_all_who_are_said_goodbye_to_at_once_may_read_on(world):  # noqa: F811
    """Each of them has a moment for it, however many there are: a close over what crosses it is a reset."""
    own(world, 2_000)
    socks = [world.client() for _ in range(3)]
    for sock in socks:
        sock.sendall(ask(world, 7, f"{socks.index(sock):016x}"))
    until(lambda: world.counters.counts["answer.ok"] == 3 and not world.clients.owed)
    for sock in socks:
        sock.sendall(words(b"STATUS", b"9", b"") * 50)
    world.clients.farewell()
    assert len(world.clients.parting) == 3  # nobody was closed over it
    assert [read(sock, 1 << 16) for sock in socks] == [words(b"7", b"ok", b"", b"x" * 2_000)] * 3


@pytest.mark.parametrize("timeout, last_call", [(5000, 3400), (2000, 2500), (300, 900), (50, 700)])
def test_the_last_call_leaves_time_to_write_answers(timeout, last_call):
    # Killed no sooner than the longest timeout (3 s at most) and 0.7 s after SIGTERM.
    stop = Stop(timeout * MS)
    stop.ask(0)
    assert stop.last_call == last_call * MS


@pytest.mark.parametrize("at", ["connection", "cache", "its time"])
def test_the_last_call_answers_whatever_it_meets(world, gate, at):  # noqa: F811
    """A launch whose connection is coming up, one that hangs, and one whose time runs out just then."""
    if at != "connection":
        gate.set()
    sock = world.client()
    sock.sendall(ask(world, 7, patience=30 if at == "its time" else 1000))
    until(lambda: world.caches.aloft)
    if at != "connection":
        world.server.heard(1)
    if at == "its time":
        time.sleep(0.04)  # nobody has his turn: both are due at once
    world.facade.last_call()
    world.facade.last_call()
    got = sock.recv(4096)
    assert got.startswith(b"*4\r\n$1\r\n7\r\n$4\r\nfull\r\n")
    gate.set()
    until(lambda: not len(world.facade.open) and not world.clients.owed)
    gevent.sleep(0.01)
    assert silent(sock) and len([one for one in world.server.said if one.startswith("do")]) == (
        at != "connection"
    )


@pytest.fixture
def held(tmp_path):
    """The program in the midst of its start: it waits for its file, a pipe that is written by `say`."""
    path = tmp_path / "c.json"
    door = f"127.0.0.1:{free_port()}"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-O", "-m", "marbleglade"],
        stderr=subprocess.PIPE,
        env=os.environ | {"GW_CONFIG": str(path)},
    )

    def say(coordinator, meanwhile=lambda: None):
        until(lambda: process.poll() is not None or opened(), seconds=10)
        meanwhile()
        text = json.dumps(told(listen=door, coordinator=":".join(map(str, coordinator.address))))
        os.write(fds.pop(), text.encode().ljust(1 << 16)) and closing.pop()()

    fds, closing = [], []

    def opened():
        with suppress(OSError):
            fds.append(os.open(path, os.O_WRONLY | os.O_NONBLOCK))
            os.set_blocking(fds[0], True)
            closing.append(lambda fd=fds[0]: os.close(fd))
        return fds

    yield process, say
    process.kill()
    process.wait()


def test_a_new_configuration_amid_the_start_is_heeded_once_the_front_is_there(held):
    process, say = held
    old, new = Server(), Server()
    say(old, lambda: process.send_signal(signal.SIGHUP))
    while orjson.loads(process.stderr.readline())["event"] != "ready":
        pass
    say(new)
    assert new.heard(1) == "follow 2"
    process.send_signal(signal.SIGTERM)
    until(lambda: process.poll() is not None)
    assert process.returncode == 0
    old.close()
    new.close()


def test_an_end_amid_the_start_is_no_crash(held):
    process, say = held
    coordinator = Server()
    with suppress(OSError):
        say(coordinator, lambda: (process.send_signal(signal.SIGUSR1), process.send_signal(signal.SIGTERM)))
    until(lambda: process.poll() is not None)
    assert process.returncode == 0 and not process.stderr.read()
    coordinator.close()


# The end of a client's connection.


@pytest.fixture
def gate(world):  # noqa: F811
    """Connections to caches come up once it is opened."""
    one, line = Event(), world.caches._line
    world.caches._line = lambda *told: (one.wait(WAIT), line(*told))[1]
    return one


def test_nothing_is_launched_for_who_has_closed_while_the_connection_came_up(world, gate):  # noqa: F811
    sock = world.client()
    sock.sendall(ask(world, 7))
    until(lambda: world.caches.aloft)
    sock.shutdown(socket.SHUT_WR)
    assert sock.recv(4096) == words(b"7", b"full", b"pause=40", b"") and sock.recv(10) == b""
    gate.set()
    until(lambda: world.counters.counts["launch.stale"] == 1)
    gevent.sleep(0.01)
    assert world.server.said == [] and not len(world.facade.open)


def test_nothing_is_launched_for_who_closes_as_it_asks(world):  # noqa: F811
    sock = world.client()
    sock.sendall(ask(world, 7))
    sock.shutdown(socket.SHUT_WR)
    assert sock.recv(4096) == words(b"7", b"full", b"pause=40", b"") and sock.recv(10) == b""
    gevent.sleep(0.01)
    assert world.server.said == []


@pytest.mark.parametrize(
    "repeat, unsent, said",
    [
        (Repeat.EFFECTFUL, True, "push back"),
        (Repeat.EFFECTFUL, False, "break off"),
        (Repeat.PURE, False, "push back"),
    ],
)
def test_the_decisions_launch_nothing_more_for_who_sends_no_more(front, repeat, unsent, said):  # noqa: F811
    one = front(repeat=repeat)
    retrieval = one.ask()
    one.sent[0].unsent = unsent
    retrieval.parted = True
    one.end(one.sent[0], Outcome.CALLED_OFF)
    assert len(one.sent) == 1 and one.said == [(said, retrieval)] and Outcome.CALLED_OFF not in NEVER_RAN


def test_a_nevermind_is_heard_while_answers_wait_for_their_reader(world):  # noqa: F811
    own(world, 60_000)
    sock, client = slow_reader(world)
    sock.sendall(ask(world, 7))
    until(lambda: client.flushing)
    sock.sendall(ask(world, 8, "0000000000000008").replace(b"entity=7f", b"entity=00"))
    world.server.heard(1)
    sock.sendall(words(b"NEVERMIND", b"8"))
    assert world.server.heard(2) == "undo 0000000000000008"
    assert client.flushing
    whole = words(b"7", b"ok", b"", b"x" * 60_000)
    assert read(sock, len(whole)) == whole


def test_an_answer_that_waits_its_turn_past_its_time_takes_no_other_along(world):  # noqa: F811
    """Found on a rough day: the door's answers held the turn, and late ones closed it on all others."""
    own(world, 60_000)
    sock, client = slow_reader(world)
    sock.sendall(ask(world, 7))
    until(lambda: client.flushing)
    sock.sendall(ask(world, 8, "0000000000000008", patience=20).replace(b"entity=7f", b"entity=00"))
    world.server.heard(1)
    world.server.socks[0].sendall(full(b"0000000000000008 HIT - 1\r\ny\r\n"))
    gevent.sleep(0.15)  # past its time and the slack, and the reader has not read yet
    assert not client.closed and world.counters.counts["client.slow_reader"] == 0
    for tag in (9, 10):  # the door has more to say: it goes behind what waits
        sock.sendall(ask(world, tag, f"{tag:016x}"))
    until(lambda: client.due)
    whole = [
        words(b"7", b"ok", b"", b"x" * 60_000),
        words(b"8", b"ok", b"", b"y"),
        words(b"9", b"full", b"", b"") + words(b"10", b"full", b"", b""),
    ]
    assert read(sock, sum(map(len, whole))) == b"".join(whole)


def test_pushbacks_in_a_long_overload_end_no_connection(world):  # noqa: F811
    sock = world.client()
    sock.sendall(ask(world, 7))
    world.server.heard(1)
    world.front.refuse = lambda: True
    for tag in range(100, 140):
        sock.sendall(ask(world, tag, f"{tag:016x}"))
        assert sock.recv(4096) == words(b"%d" % tag, b"full", b"", b"")
    world.server.socks[0].sendall(full(TRACE + b" HIT - 1\r\nx\r\n"))
    assert sock.recv(4096) == words(b"7", b"ok", b"", b"x")


@pytest.mark.parametrize(
    "garbage",
    [b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 100_000, words(b"ASK", b"x"), words(b"ASK", b"7", b"page", b"")],
)
def test_what_was_asked_before_garbage_is_answered_and_then_it_ends(world, garbage):  # noqa: F811
    sock = world.client()
    sock.sendall(ask(world, 7) + garbage)
    world.server.heard(1)
    sock.sendall(ask(world, 8, "0000000000000008"))  # nothing that comes after is looked at
    world.server.socks[0].sendall(full(TRACE + b" HIT - 1\r\nx\r\n"))
    assert sock.recv(4096) == words(b"7", b"ok", b"", b"x") and sock.recv(10) == b""
    sock.close()
    until(lambda: not world.clients.parting and not world.clients.clients)
    assert len(world.server.said) == 1 and world.clients.buffered == 0


def test_who_was_said_goodbye_to_and_does_not_close_is_closed(world):  # noqa: F811
    sock = world.client()
    sock.sendall(b"garbage\r\n")
    assert sock.recv(10) == b"" and len(world.clients.parting) == 1
    now = clock.now()
    world.clients.clock = lambda: now + 400 * MS
    world.clients.sweep()
    assert not world.clients.parting


def test_who_was_said_goodbye_to_counts_among_the_clients_connections(world):  # noqa: F811
    """Each of them holds a descriptor: beside a full share of others they would go over the limit."""
    for bad in range(4):
        sock = world.client()
        sock.sendall(b"garbage\r\n")
        assert sock.recv(10) == b""
        assert len(world.clients.clients) + len(world.clients.parting) == min(bad + 1, 3)
    socks = [world.client() for _ in range(3)]
    for sock in socks:
        sock.sendall(words(b"STATUS", b"8", b""))
        assert sock.recv(4096) == words(b"8", b"yes", b"", b"")
    assert len(world.clients.clients) == 3 and not world.clients.parting
    assert world.counters.counts["client.over_share"] == 4


class Endless:
    """A connection on which the next bytes are always there; it ends after so many reads."""

    def __init__(self, data=b"x", reads=1000):
        self.data, self.left, self.since, self.longest = data, reads, 0, 0
        gevent.spawn(self.turn)

    def turn(self):
        while self.left > 0:
            self.longest, self.since = max(self.longest, self.since), 0
            gevent.sleep(0)

    def recv_into(self, buffer):
        self.left, self.since = self.left - 1, self.since + 1
        self.longest = max(self.longest, self.since)
        if self.left <= 0:
            return 0
        buffer[: len(self.data)] = self.data
        return len(self.data)

    def recvfrom(self, size):
        if not self.recv_into(bytearray(size)):
            raise gevent.GreenletExit
        return self.data, ("127.0.0.1", 9)

    def sendall(self, data):
        pass

    settimeout = connect = sendall

    def close(self):
        pass


@pytest.mark.parametrize("who", ["garbage", "part", "cache", "peer", "link"])
def test_who_sends_as_fast_as_it_is_read_lets_the_others_have_their_turn(world, who):  # noqa: F811
    flood = Endless(b"t9 SHED - 0\r\n\r\n" if who == "cache" else b"$" if who == "part" else b"x")
    gevent.sleep(0)
    if who == "cache":
        pool = world.caches.pools.setdefault(world.places.by_id["s1"].cache, Pool())
        world.caches._read(Line(flood, pool))
    elif who == "peer":
        peers = Peers(("127.0.0.1", 0), [], 7, None, None, None, world.guard)
        peers.sock.close()
        peers.sock = flood
        gevent.spawn(peers.run).join(WAIT)
    elif who == "link":
        one = Connection.__new__(Connection)
        one.sock, one.closed, one.frames = flood, False, type("Frames", (), {"feed": lambda self, data: []})()
        one.counters, one.heard, one.outbox = world.counters, 0, None
        one.close = lambda why: None
        one.run()
    else:
        client = Client(flood, clock.now)
        client.ended = who == "garbage"
        if who == "part":
            world.clients._take_in = lambda client, data: None
        world.clients._read(client)
    assert flood.left <= 0 and flood.longest <= 32


@pytest.mark.parametrize("line", [b"3\n", b"x"])
def test_a_coordinator_that_never_stops_and_says_nothing_new_is_as_good_as_silent(world, monkeypatch, line):  # noqa: F811
    """No read on it ever waits, so that no time-out of a read tells."""
    flood = Endless(line, 300_000)  # some seconds of it
    there = type("There", (), {"AF_INET": 0, "SOCK_STREAM": 0, "socket": lambda self, *told: flood})()
    monkeypatch.setattr(coordinator_wire, "socket", there)
    follower = Follower(("127.0.0.1", 9), 4, world.front.follow, world.guard, silent=0.1)
    with pytest.raises(TimeoutError):
        follower._follow()
    flood.left = 0


def test_a_large_answer_waits_where_room_is_short_and_takes_no_other_along(world):  # noqa: F811
    world.room.size = world.room.free = 1 << 20
    sock, client = slow_reader(world)
    sock.sendall(ask(world, 7) + ask(world, 8, "0000000000000008"))
    world.server.heard(2)
    world.clients.buffered += 99_999
    said = dict(zip(world.server.said, world.server.asks, strict=True))
    for line, cache in said.items():
        size = 60_000 if TRACE.decode() in line else 1
        cache.sendall(full(line.split()[1].encode() + b" HIT - %d\r\n" % size + b"x" * size + b"\r\n"))
    large, small = words(b"7", b"ok", b"", b"x" * 60_000), words(b"8", b"ok", b"", b"x")
    assert read(sock, len(large) + len(small)) in (large + small, small + large)
    assert world.counters.counts["client.slow_reader"] == 0


def test_an_own_copy_that_finds_no_room_is_pushed_back_and_the_connection_stays(world):  # noqa: F811
    own(world, 60_000)
    world.clients.buffered = 50_000
    sock = world.client()
    for tag in (7, 8):
        sock.sendall(ask(world, tag, f"{tag:016x}"))
        assert sock.recv(4096) == words(b"%d" % tag, b"full", b"", b"")


def test_room_for_what_is_not_whole_is_made_by_who_is_owed_nothing(world):  # noqa: F811
    part = b"*5\r\n$3\r\nASK\r\n$1\r\n9\r\n$4\r\npage\r\n$1\r\nx\r\n$200000\r\n" + b"x" * 60_000
    idle, busy = world.client(), world.client()
    idle.sendall(part)
    until(lambda: world.clients.buffered > 50_000)
    busy.sendall(ask(world, 7))
    world.server.heard(1)
    busy.sendall(part)
    assert idle.recv(10) == b""
    assert world.counters.counts["client.no_room"] == 1
    world.server.socks[0].sendall(full(TRACE + b" HIT - 1\r\nx\r\n"))
    assert busy.recv(4096) == words(b"7", b"ok", b"", b"x")


@pytest.mark.parametrize("by", ["sweep", "share"])
def test_a_connection_on_which_an_ask_lies_unread_is_not_idle(world, by):  # noqa: F811
    socks = [world.client() for _ in range(3)]
    until(lambda: len(world.clients.clients) == 3)
    gevent.sleep(0.01)
    now = clock.now()
    world.clients.clock = lambda: now + 6000 * MS
    socks[0].sendall(ask(world, 7))  # nobody else has his turn until the next wait
    if by == "sweep":
        world.clients.sweep()
    else:
        world.client()
        sock, _ = world.door.accept()
        world.clients._accepted(sock)
    world.server.heard(1)
    world.server.socks[0].sendall(full(TRACE + b" HIT - 1\r\nx\r\n"))
    assert socks[0].recv(4096) == words(b"7", b"ok", b"", b"x") and socks[1].recv(10) == b""


# The list.


@pytest.fixture
def following(world):  # noqa: F811
    """A follower of one stand-in, its events taken in by the front; `again` gives the n-th connection."""
    coordinator = Server()
    follower = Follower(coordinator.address, 4, world.front.follow, world.guard, silent=0.2, pause=0.001)
    loop = gevent.spawn(follower.run)

    def again(count, said):
        until(lambda: len(coordinator.said) >= count)
        assert coordinator.said[count - 1] == said
        return coordinator.socks[count - 1]

    yield follower, again
    loop.kill()
    coordinator.close()


def entry(id, state="active", address="127.0.0.1:9"):
    return (
        f'{{"id":"{id}","addr":"{address}","zone":"z","kind":"box","cell":0,"state":"{state}",'
        f'"started_ms":0}}'
    )


def change(index, *entries, whole="false"):
    return f'{{"index":{index},"endpoints":{{"full":{whole},"servers":[{",".join(entries)}]}}}}\n'.encode()


def states(world):  # noqa: F811
    return {place.id: place.cache.state for place in world.places.by_id.values()}


def test_an_entry_that_cannot_be_read_keeps_no_drain_from_its_neighbours(world, following):  # noqa: F811
    follower, again = following
    sock = again(1, "follow 4")
    sock.sendall(change(5, entry("s1"), entry("s2"), entry("s3")))
    sock.sendall(change(6, entry("s2", "odd"), entry("s1", "leaving")))
    until(lambda: follower.last == 6)
    assert states(world) == {"s1": State.LEAVING, "s2": State.LEAVING, "s3": State.ACTIVE}
    sock.sendall(change(7, entry("s2", address="nowhere"), entry("s3"), whole="true"))
    until(lambda: follower.last == 7)
    assert states(world) == {"s2": State.LEAVING, "s3": State.ACTIVE}
    sock.sendall(change(8, entry("s2")))
    until(lambda: states(world)["s2"] is State.ACTIVE)


def test_the_same_unreadable_line_for_ever_keeps_no_drain_from_the_front(world, following):  # noqa: F811
    follower, again = following
    for turn in (1, 2, 3):
        with suppress(OSError):
            again(turn, "follow 4").sendall(b"garbage\n" + change(6, entry("s1", "leaving")) + b"6\n")
    until(lambda: follower.last == 6)
    assert states(world)["s1"] is State.LEAVING and world.counters.counts["coordinator.passed_over"] == 2


def test_an_event_that_could_not_be_taken_in_is_asked_for_once_more(world, following):  # noqa: F811
    follower, again = following
    follow, troubles = follower.apply, [1, 2, 3]
    follower.apply = lambda event: follow(event) if event.index != 5 or troubles.pop() < 3 else 1 // 0
    again(1, "follow 4").sendall(change(5, entry("s1", "leaving")))
    again(2, "follow 4").sendall(change(5, entry("s1", "leaving")))
    until(lambda: follower.last == 5)
    assert states(world)["s1"] is State.LEAVING and world.counters.counts["trouble.event"] == 1
    follower.apply = lambda event: 1 // 0
    again(2, "follow 4").sendall(change(6, entry("s1")))
    again(3, "follow 5").sendall(change(6, entry("s1")) + b"6\n")  # it goes on without it
    until(lambda: follower.last == 6)


@pytest.mark.parametrize("left", [b"", b'{"index":5,"endpo', b"3\n"])
def test_a_watch_that_falls_silent_for_good_blinds_the_front_no_longer_than_two_beats(world, following, left):  # noqa: F811
    follower, again = following
    began = clock.now()
    first = again(1, "follow 4")

    def old():  # one that tells old numbers alone has fallen behind: as good as silence
        while left.endswith(b"\n"):
            first.sendall(left)
            gevent.sleep(0.02)

    beats = gevent.spawn(old)
    first.sendall(left)
    again(2, "follow 4")  # it accepts and never speaks
    again(3, "follow 4").sendall(change(5, entry("s1", "leaving")))
    until(lambda: follower.last == 5)
    beats.kill()
    assert states(world)["s1"] is State.LEAVING
    # Two silences of 0.2 s. In service they are of two beats each, 2 s, where the settings grant 7 s.
    assert clock.now() - began < 1000 * MS


def test_a_list_that_lacks_a_place_with_launches_out_takes_none_of_them_along(world):  # noqa: F811
    sock = world.client()
    sock.sendall(ask(world, 7))
    world.server.heard(1)
    world.list("s2", whole=True)
    world.server.socks[0].sendall(full(TRACE + b" HIT - 1\r\nx\r\n"))
    assert sock.recv(4096) == words(b"7", b"ok", b"", b"x") and list(states(world)) == ["s2"]
    until(lambda: world.caches.count == 0)


# The end of a cache's connection.


@pytest.fixture
def deaf(world):  # noqa: F811
    """The one connection there may be, to a place that reads nothing of it yet; `hear` makes it read on."""
    world.caches.most, world.room.size, world.room.free = 1, 1 << 20, 1 << 20
    world.server.loop.kill()
    door = world.server.listener
    first = gevent.spawn(world.fly, 1500, "first")
    sock, _ = door.accept()
    until(lambda: sock.recv(1 << 16).startswith(b"do first"))

    def hear(until_said):
        got = b""
        while until_said not in got and (data := sock.recv(1 << 20)):
            got += data
        return got

    yield first, sock, hear
    sock.close()


LARGE = b"x" * (12 << 20)  # far more than the buffers of both sides hold


@pytest.mark.parametrize("ends", ["client", "time"])
def test_a_launch_given_up_half_written_takes_no_other_on_its_connection_along(world, deaf, ends):  # noqa: F811
    first, sock, hear = deaf
    half = gevent.spawn(world.fly, 100 if ends == "time" else 1500, "half", body=LARGE)
    until(lambda: world.counters.counts["cache.shared"] == 1)
    gevent.sleep(0.01)
    if ends == "client":
        half.kill()
    else:
        assert half.get(timeout=WAIT).outcome is Outcome.TIMEOUT
    sock.sendall(full(b"first HIT - 1\r\nx\r\n"))
    assert first.get(timeout=WAIT).answer.body == b"x"
    until(lambda: not world.caches.count)  # nothing is out on it: nobody waits for the rest


def test_what_was_half_written_is_undone_right_behind_it(world, deaf):  # noqa: F811
    first, sock, hear = deaf
    half = gevent.spawn(world.fly, 1500, "half", body=LARGE)
    until(lambda: world.counters.counts["cache.shared"] == 1)
    half.kill()
    assert hear(b"undo").endswith(b"x\r\nundo half\r\n")
    sock.sendall(full(b"first HIT - 1\r\nx\r\n"))
    assert first.get(timeout=WAIT).answer.body == b"x"


def test_nothing_is_put_behind_a_message_that_is_not_taken(world, deaf):  # noqa: F811
    first, sock, hear = deaf
    half = gevent.spawn(world.fly, 1500, "half", body=LARGE)
    until(lambda: world.counters.counts["cache.shared"] == 1)
    assert world.fly(trace="third").outcome is Outcome.MOOT  # it never ran, and says so at once
    half.kill()


def test_an_answer_amid_its_own_message_ends_the_connection(world, deaf):  # noqa: F811
    first, sock, hear = deaf
    sock.sendall(full(b"first HIT - 1\r\nx\r\n"))
    first.get(timeout=WAIT)
    half = gevent.spawn(world.fly, 1500, "half", body=LARGE)
    until(lambda: world.counters.counts["launch.sent"] == 2)
    sock.sendall(b"half SHED - 0\r\n\r\n")
    assert half.get(timeout=WAIT).outcome is Outcome.FULL
    until(lambda: not world.caches.count)


@pytest.mark.parametrize(
    "change, where", [(dict(started=5), "there"), (dict(address=True), "else"), (dict(state="left"), None)]
)
def test_a_connection_that_came_up_to_where_a_place_was_carries_nothing(world, change, where):  # noqa: F811
    other, came, go_on = Server(), Event(), Event()
    line = world.caches._line

    def late(cache, id):
        got = line(cache, id)
        if not came.is_set():
            came.set()
            go_on.wait(WAIT)
        return got

    world.caches._line = late
    flight = gevent.spawn(world.fly, 1500)
    came.wait(WAIT)
    world.list("s1", **{key: other.address if key == "address" else value for key, value in change.items()})
    go_on.set()
    if where:
        server = other if where == "else" else world.server
        assert server.heard(1).startswith("do t1") and world.caches.count == 1
        assert (len(world.server.socks), server.asks[0]) == (
            1 + (where == "there"),
            server.socks[-1],
        )  # the first one carried nothing
        server.asks[0].sendall(full(b"t1 HIT - 1\r\nx\r\n"))
        assert flight.get(timeout=WAIT).answer.body == b"x"
        assert len(world.server.said) + len(other.said) == 1
    else:
        assert flight.get(timeout=WAIT).outcome is Outcome.CALLED_OFF and not world.server.said
    other.close()


def test_room_waited_for_in_vain_is_given_to_who_waits_behind(world):  # noqa: F811
    world.room.take(600)
    gone = gevent.spawn(world.fly, 1500, "a")
    world.server.heard(1)
    world.server.socks[0].sendall(full(b"a HIT - 900\r\n"))
    until(lambda: world.room.short)
    kept = gevent.spawn(world.fly, 1500, "b")
    world.server.heard(2)
    world.server.socks[1].sendall(full(b"b HIT - 300\r\n"))
    until(lambda: len(world.room.waiting) == 2)
    gone.kill()  # its client left: the connection ends, and with it the wait
    until(lambda: not world.room.short)
    world.server.socks[1].sendall(b"x" * 300 + b"\r\n")
    assert len(kept.get(timeout=WAIT).answer.body) == 300 and world.room.free == 100


def test_a_probe_whose_connection_comes_up_too_late_leaves_it_to_others(world, gate):  # noqa: F811
    cache = world.places.by_id["s1"].cache
    assert world.caches.look(cache, 20 * MS) == {}
    gate.set()
    until(lambda: world.caches.count == 1)
    gevent.sleep(0.01)
    assert len(world.caches.pools[cache].idle) == 1 and not world.server.said


def rested(world):  # noqa: F811
    """A launch was answered; its connection rests."""
    assert world.fly(trace="t1", meanwhile=answering(world, b"t1 HIT - 1\r\nx\r\n")).answer.body == b"x"
    (line,) = world.caches.pools[world.places.by_id["s1"].cache].idle
    return line, world.server.socks[0]


@pytest.mark.parametrize("how", ["end", "reset"])
def test_a_connection_that_has_just_ended_is_not_used_again(world, how):  # noqa: F811
    line, far = rested(world)
    if how == "reset":
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        os.close(far.detach())
    else:
        far.shutdown(socket.SHUT_WR)
    # Nobody has had his turn since: its reader does not know.
    ending = world.fly(trace="t2", meanwhile=answering(world, b"t2 HIT - 1\r\ny\r\n", 1, 2))
    assert ending.outcome is Outcome.OK and ending.answer.body == b"y" and line.closed


def test_a_launch_of_which_the_connection_took_no_byte_is_known_not_to_have_run(world, monkeypatch):  # noqa: F811
    """It ends between the look at it and the write."""
    line, far = rested(world)
    monkeypatch.setattr(caches_wire, "ended", lambda sock: False)
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    os.close(far.detach())
    gone = []
    assert world.fly(trace="t2", meanwhile=gone.append).outcome is Outcome.RESET
    assert gone[0].begun is False and len(world.server.said) == 1


def test_an_answer_and_its_undo_cross_and_a_second_answer_is_dropped(world):  # noqa: F811
    sock = world.client()
    sock.sendall(ask(world, 7))
    world.server.heard(1)
    sock.sendall(words(b"NEVERMIND", b"7"))
    with suppress(OSError):
        for _ in range(2):
            world.server.socks[0].sendall(full(TRACE + b" HIT - 1\r\nx\r\n"))
    sock.sendall(words(b"STATUS", b"8", b""))
    assert sock.recv(4096) == words(b"8", b"yes", b"", b"") and silent(sock)
    until(lambda: world.room.free == world.room.size and not len(world.facade.open))


# Memory.


def test_a_purge_between_the_look_at_an_own_copy_and_its_answer_holds():
    """The decisions are shown a copy at the door and may give it later, after a launch has failed."""
    one = Paper(own_width=4.0, fresh=60_000 * MS)
    held = Held(MS, one.clock, None)
    retrieval = one.ask(held=held, wait=2500)
    assert one.said[-1][0] == "settle"  # as it came: it is given
    one.choice.purged(1, 0, one.clock)
    one.clock += 5 * MS
    one.ask(held=held)
    assert one.sent and one.said[-1] == ("settle", retrieval)  # older than the purge: it is not


@pytest.mark.parametrize(
    "purge, given",
    [((0x7F3A9C21E0B4D655, 0), False), ((0, 17), False), ((0x7F3A9C21E0B4D656, 0), True), ((0, 18), True)],
)
def test_a_copy_that_was_shown_is_not_given_after_its_purge_is_forgotten(world, purge, given):  # noqa: F811
    """A retrieval may wait longer than a purge is remembered by the decisions."""
    own(world, 100)
    script = world.facade.decisions
    script.take = lambda one: world.facade.launch(one, script.caches[0], script.caches[0], 10**9)
    script.ended = lambda launch: (world.facade.settle if launch.retrieval.held else world.facade.push_back)(
        launch.retrieval
    )
    sock = world.client()
    sock.sendall(ask(world, 7))
    world.server.heard(1)
    world.front.apply(Purge(9, *purge, 1 << 53))
    world.server.socks[0].sendall(TRACE + b" SHED - 0\r\n\r\n")
    assert sock.recv(4096) == words(b"7", *((b"ok", b"", b"x" * 100) if given else (b"full", b"", b"")))


@pytest.fixture
def quick_purges(monkeypatch):
    """Caches are rid of what was purged after 100 ms, far sooner than a client gives up."""
    monkeypatch.setitem(OPTIONS["Specifics"], "ClearedWithin", 100.0)
    started = test_life.told
    monkeypatch.setattr(
        test_life, "told", lambda **more: started(flow_bytes_per_s=10**6, link_bytes_per_s=10**7, **more)
    )


def test_what_was_out_when_it_was_purged_is_not_kept_however_late_it_comes(quick_purges, program):  # noqa: F811
    process, door, cache, coordinator = program
    sock = socket.create_connection(door)
    sock.settimeout(WAIT)
    began = int(time.time() * 1000)
    for tag in (1, 2, 3):  # asked for more than once, so worth a copy of the front's own
        sock.sendall(test_life.ask(tag, tag))
        id = cache.heard(tag).split()[1].encode()
        if tag == 2:
            coordinator.socks[0].sendall(purged(3, 17))
            gevent.sleep(0.25)
            coordinator.socks[0].sendall(purged(4, 99))  # by the next one what is old is forgotten
            gevent.sleep(0.05)
        cache.asks[-1].sendall(id + b" HIT entity=4be0c1927d55a6f3,issued=%d 1\r\nx\r\n" % began)
        assert sock.recv(4096) == words(b"%d" % tag, b"ok", b"", b"x")


def purged(index, group):
    return (
        json.dumps({"index": index, "evict": {"shard": group, "unix_ms": int(time.time() * 1000)}}).encode()
        + b"\n"
    )
