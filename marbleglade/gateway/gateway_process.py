"""Runs one gateway: opens its listeners, runs its components, and shuts it down gracefully."""

from __future__ import annotations

import gc
import os
import signal
from collections.abc import Callable
from functools import partial

import gevent
from gevent import socket

from ..deployment.reader import LocalDeployment
from ..request_handler import RequestHandler
from ..runtime import clock
from ..runtime.process_signals import process_signals
from ..runtime.timeouts import read_arrived_data
from ..runtime.units import SECOND_NS
from ..textproto import parse_address
from ..transport.arrival import arrival_time
from ..transport.sockets import open_listener
from .status import gateway_status
from .wiring import GatewayComponents

LISTEN_BACKLOG = 1024  # connections that may wait to be accepted, per listener
HEARTBEATS_PER_SWEEP = 4
SHUTDOWN_CHECKS_PER_HEARTBEAT = 4
FINAL_FLUSH_DIVISOR = 8  # the last responses are written within the silence timeout divided by this


class Gateway:
    """One running gateway.

    Args:
        deployment: The deployment, and the gateway in it that is run.
        debug: Whether debug events are logged.
        sink: The file descriptor that the log is written to; None for standard error.

    Attributes:
        components: The gateway's components.
    """

    def __init__(self, deployment: LocalDeployment, debug: bool = False, sink: int | None = None) -> None:
        self.components = GatewayComponents(deployment, debug, sink)
        self._deployment = deployment
        self._guard = self.components.guard
        self._listeners: list[socket.socket] = []
        self._greenlets: list[gevent.Greenlet] = []

    # Start.

    def start(self) -> None:
        """Open the listeners and start the greenlets of all components."""
        components = self.components
        components.loop_monitor.start()
        gateway = self._deployment.gateway
        tasks: list[Callable[[], object]] = [components.discovery_watch.run]
        for listen_address, accept in (
            (gateway.clients, components.client_listener.accept),
            (gateway.places, components.cache_server.accept),
            (gateway.links, components.responder.accept),
        ):
            if listen_address:
                tasks.append(partial(accept, self._listen(listen_address)))
        tasks += [
            partial(requester.maintain_link, link)
            for requester in components.requesters
            for link in requester.links
        ]
        for handler in components.router.handlers.values():
            tasks.append(handler.monitor.run_probes)
            tasks.append(partial(self._run_policy_timers, handler))
        tasks.append(self._run_periodic_work)
        self._greenlets = [gevent.spawn(task) for task in tasks]

    def _listen(self, listen_address: str) -> socket.socket:
        listener = open_listener(parse_address(listen_address), LISTEN_BACKLOG, self.components.log)
        self._listeners.append(listener)
        return listener

    # Periodic work.

    def _run_policy_timers(self, handler: RequestHandler) -> None:
        """Run the timers of one region's policy when they are due."""
        resolution = handler.clock_resolution
        while True:
            next_timer = self._guard.call("policy_timers", handler.driver.run_timers)
            wakeup_at = next_timer if isinstance(next_timer, int) and next_timer else clock.now() + resolution
            gevent.sleep(max(0, wakeup_at - clock.now()) / SECOND_NS)
            if clock.now() - wakeup_at > resolution:
                read_arrived_data()  # late wakeup: read what has arrived before the due timers run

    def _run_periodic_work(self) -> None:
        """Send heartbeats, check the links, and remove expired state periodically."""
        components = self.components
        sweeps = (
            components.responder.requests.expire,
            components.upstream_client.close_idle,
            components.client_listener.connections.sweep,
            components.cache_server.sweep,
        )
        count = 0
        while True:
            count += 1
            for requester in components.requesters:
                self._guard.call("heartbeat", requester.send_heartbeats)
                self._guard.call("sweep", requester.sweep)
            self._guard.call("heartbeat", components.responder.send_heartbeats)
            if not count % HEARTBEATS_PER_SWEEP:
                for sweep in sweeps:
                    self._guard.call("sweep", sweep)
            gevent.sleep(components.heartbeat_interval_ns / SECOND_NS)

    # Shutdown.

    def drain(self) -> None:
        """Begin the graceful shutdown: accept no more requests, and notify the gateways of other regions."""
        components = self.components
        if components.shutdown.requested_at:
            return
        now = clock.now()
        components.shutdown.request(now, arrival_time(components.loop_monitor.sockets_empty_at, now))
        components.log.info("stopping", open_requests=len(components.router))
        components.responder.announce_drain()
        for requester in components.requesters:
            requester.announce_drain()

    def wait_until_drained(self) -> None:
        """Block until all requests have been answered or ended by force and the process may exit."""
        components = self.components
        shutdown = components.shutdown
        clients = components.client_listener.connections
        while not shutdown.may_exit(clock.now(), len(components.router) or clients.has_pending_work):
            if shutdown.must_end_requests(clock.now(), components.loop_monitor.recent_delay()):
                self._end_open_requests()
            gevent.sleep(components.heartbeat_interval_ns / SHUTDOWN_CHECKS_PER_HEARTBEAT / SECOND_NS)
        components.responder.close_gracefully()
        gevent.sleep(components.silence_timeout_ns / FINAL_FLUSH_DIVISOR / SECOND_NS)

    def _end_open_requests(self) -> None:
        for handler in self.components.router.handlers.values():
            self._guard.call("give_up_all", handler.driver.give_up_all)

    def close(self) -> None:
        """Stop immediately and close all sockets; used when several gateways share one process."""
        components = self.components
        components.loop_monitor.stop()
        gevent.killall(self._greenlets)
        components.discovery_watch.close_connections()
        for listener in self._listeners:
            listener.close()
        components.responder.close_connections()
        for requester in components.requesters:
            requester.close_connections()

    # Status.

    def log_status(self) -> None:
        """Log the counters and the state of all components."""
        self.components.log.info("counters", **gateway_status(self.components))


def run(deployment: LocalDeployment) -> None:
    """Run one gateway until its graceful shutdown is complete."""
    gateway = Gateway(deployment, bool(os.environ.get("MARBLEGLADE_DEBUG")))
    components = gateway.components
    gateway.start()
    handlers = {
        signal.SIGUSR1: gateway.log_status,
        signal.SIGTERM: gateway.drain,
        signal.SIGINT: gateway.drain,
    }
    process_signals.handle(handlers, lambda name: components.log.info("signal_ignored", signal=name))
    gc.freeze()  # startup objects live as long as the process, so garbage collections skip them
    components.log.info(
        "ready",
        region=components.region,
        start_ms=components.start_ms,
        remote_regions=[region.name for region in deployment.remote_regions],
    )
    process_signals.deliver_pending()
    gateway.wait_until_drained()
    gateway.log_status()
