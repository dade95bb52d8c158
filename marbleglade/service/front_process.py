"""The process of one front: startup, main loop and graceful shutdown."""

from __future__ import annotations

import gc
import os
import signal
import sys

import gevent
from gevent import socket

from ..runtime import clock
from ..runtime.errors import InvalidConfigurationError
from ..runtime.loop_monitor import TICK_PERIOD_NS
from ..runtime.process_signals import process_signals
from ..runtime.timeouts import TimeLimit, read_arrived_data
from ..runtime.units import MILLISECOND_NS, SECOND_NS
from ..transport.arrival import arrival_time
from ..transport.client_timeouts import GRACEFUL_CLOSE_TIMEOUT_NS
from ..transport.sockets import listen_with_retries
from .components import FrontComponents
from .reload import ConfigurationReload
from .startup_configuration import StartupConfiguration
from .wiring import build_front

SWEEP_PERIOD_NS = SECOND_NS // 4  # minimum time between two runs of the periodic checks in `_sweep`
MAX_BIND_WAIT_NS = 20 * SECOND_NS  # the platform allows a front 30 s to become ready


def run(configuration: StartupConfiguration) -> None:
    """Run one front until its graceful shutdown is complete."""
    process = FrontProcess(build_front(configuration))
    process.start()
    process.serve()
    process.end()


class FrontProcess:
    """Runs the components of one front: signal handling, the main loop with its timers, graceful shutdown.

    Args:
        components: The components of the front.
    """

    def __init__(self, components: FrontComponents) -> None:
        self.components = components
        self.configuration = components.configuration
        self.guard = components.process.guard
        self.log = components.process.guard.log
        self.loop = components.process.loop
        self.shutdown = components.process.shutdown
        self.driver = components.request_path.driver
        self.client_listener = components.request_path.client_listener
        self.configuration_reload = ConfigurationReload(
            os.environ,
            self.configuration.fixed_settings,
            self.configuration.deployment,
            components.discovery_watch,
            components.peers,
            self.guard,
        )
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.accept_greenlet: gevent.Greenlet | None = None
        self.swept_at = 0
        self.next_fleet_tick_at = 0

    # Signals.

    def log_counters(self) -> None:
        """Log the counters and the state of all components."""
        components = self.components
        upstream_client = components.request_path.upstream_client
        self.log.info(
            "counters",
            counts=self.guard.counters.table(),
            open_requests=len(self.driver.open_requests),
            client_connections=len(self.client_listener.connections.open),
            upstream_connections=upstream_client.connection_count,
            body_budget=upstream_client.body_budget.snapshot(),
            loop=self.loop.snapshot(),
            endpoints_age_ms=components.endpoints_age() // MILLISECOND_NS,
            upstreams=components.request_path.handler.monitor.status(),
            **({"fleet": components.fleet.agent.status(clock.now())} if components.fleet else {}),
            **({"maintenance": components.maintenance.status()} if components.maintenance else {}),
            **({"control": components.control.status()} if components.control else {}),
        )

    def request_shutdown(self) -> None:
        """Begin the graceful shutdown, and announce it to the fleet and the control nodes."""
        now = clock.now()
        self.shutdown.request(now, arrival_time(self.loop.sockets_empty_at, now))
        self.log.info("stopping", open_requests=len(self.driver.open_requests))
        if self.components.fleet:
            self.guard.call("fleet", self.components.fleet.leave)
        if self.components.control:
            self.guard.call("control", self.components.control.leave)

    def reload_configuration(self) -> None:
        """Read and apply the configuration file again.

        A front with fleet and maintenance also reads and applies the maintenance plan again.
        """
        self.guard.call("configuration_reload", self.configuration_reload.reload)
        if self.components.fleet and self.components.maintenance:
            self.guard.call("configuration_reload", self.components.fleet.reload_plan)

    def _handle_signals(self) -> None:
        """Handle signals from now on; signals that arrived earlier are handled when the front has started."""
        handlers = {
            signal.SIGHUP: self.reload_configuration,
            signal.SIGUSR1: self.log_counters,
            signal.SIGTERM: self.request_shutdown,
            signal.SIGINT: self.request_shutdown,
        }
        process_signals.handle(handlers, lambda name: self.log.info("signal_ignored", signal=name))

    # Start.

    def start(self) -> None:
        """Open the listener, start all greenlets, and handle the signals that arrived before."""
        self._handle_signals()
        self.loop.start()
        self._listen()
        for loop in self.components.loops():
            gevent.spawn(loop)
        if self.components.fleet and self.components.maintenance:
            # Queries the peers for the machines out of service before this front accepts clients. Their
            # replies are not awaited here.
            self.guard.call("fleet", self.components.fleet.tick)
        self.accept_greenlet = gevent.spawn(self.client_listener.accept, self.listener)
        gc.freeze()  # the collector skips the objects created at startup, which live on
        gc.enable()
        self.log.info(
            "ready",
            upstreams=len(self.components.request_path.handler.upstreams.by_id),
            last_event=self.configuration.last_event,
        )
        process_signals.deliver_pending()

    def _listen(self) -> None:
        """Open the listener; retry if the address is in use or the call fails.

        Raises:
            InvalidConfigurationError: The listener could not be opened within `MAX_BIND_WAIT_NS`.
            SystemExit: A shutdown was requested during the retries; no response can be pending yet.
        """
        address = self.configuration.listen
        backlog = self.configuration.max_descriptors
        try:
            listen_with_retries(self.listener, address, backlog, self._handle_bind_error, MAX_BIND_WAIT_NS)
        except OSError as error:
            raise InvalidConfigurationError(f"can't listen on {address}: {error}") from error

    def _handle_bind_error(self, error: OSError, count: int) -> None:
        if self.shutdown.requested_at:
            sys.exit(0)
        if not count:
            self.log.info("not_listening", error=str(error))

    # Main loop.

    def serve(self) -> None:
        """Run timers when they are due, until the process may exit."""
        self.swept_at = clock.now()
        resolution = self.configuration.environment.parameters.clock_resolution
        while not self._may_exit():
            wake_at = self._run_timers() or clock.now() + resolution
            self._sweep()
            wake_at = min(wake_at, self._run_fleet_timers() or wake_at)
            if self.components.maintenance and self.components.maintenance.is_draining:
                self.guard.call("maintenance", self.components.maintenance.drain_front, clock.now())
            if self._must_give_up():
                self.guard.call("give_up_all", self.driver.give_up_all)
            if self.shutdown.requested_at:  # requests may have to end before the policy's next timer
                wake_at = min(wake_at, clock.now() + TICK_PERIOD_NS)
            gevent.sleep(max(0, wake_at - clock.now()) / SECOND_NS)
            if clock.now() - wake_at > resolution:
                self.guard.counters.add("timer.late")
                read_arrived_data()  # so that data that arrived in time is read before the due timers run

    def _run_timers(self) -> int:
        """Run the policy's due timers; return when the next is due, ns; 0 if there is none or one failed."""
        next_timer_at = self.guard.call("policy_timers", self.driver.run_timers)
        return next_timer_at if isinstance(next_timer_at, int) else 0

    def _may_exit(self) -> bool:
        """Return whether the process may exit, after a shutdown request and the end of the connect window.

        No response may be pending. Unless open requests must be ended now, connections in the backlog are
        accepted, and neither such a connection nor unread bytes may have been found.
        """
        pending = len(self.driver.open_requests) or self.client_listener.connections.has_pending_work
        if not self.shutdown.may_exit(clock.now(), pending):
            return False
        return self._must_give_up() or not self.client_listener.drain_backlog(self.listener)

    def _must_give_up(self) -> bool:
        """Return whether open requests must be ended now, so that responses are written before the kill."""
        return self.shutdown.must_end_requests(clock.now(), self.loop.recent_delay())

    def _sweep(self) -> None:
        """Run the periodic checks of upstream connections, client connections and peers if they are due."""
        if clock.now() - self.swept_at < SWEEP_PERIOD_NS:
            return
        self.swept_at = clock.now()
        self.guard.call("sweep", self.components.request_path.upstream_client.close_idle)
        self.guard.call("sweep", self.client_listener.connections.sweep)
        if self.components.peers:
            self.guard.call("sweep", self.components.peers.tick)

    def _run_fleet_timers(self) -> int:
        """Run the fleet's timers if they are due; return when they are due next, ns, or 0 without a fleet."""
        fleet = self.components.fleet
        if fleet is None:
            return 0
        if clock.now() >= self.next_fleet_tick_at:
            self.next_fleet_tick_at = clock.now() + fleet.tick_period
            self.guard.call("fleet", fleet.tick)
        return self.next_fleet_tick_at

    # Shutdown.

    def end(self) -> None:
        """Stop accepting clients, close the listener and all client connections, and log the counters.

        No response is pending, as no greenlet has run since `_may_exit`.
        """
        if self.accept_greenlet:
            self.accept_greenlet.kill(block=False)
        self.listener.close()
        clients = self.client_listener.connections
        clients.close_all_gracefully()
        limit = TimeLimit(self.loop, clock.now() + GRACEFUL_CLOSE_TIMEOUT_NS)
        while clients.closing and not limit.expired():
            gevent.sleep(self.configuration.environment.parameters.clock_resolution / SECOND_NS)
        self.log_counters()
