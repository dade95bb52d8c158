"""Writes the event stream of one session without blocking the greenlet that appends events."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import Event

from ...runtime import clock
from ...runtime.units import SECOND_NS
from ...transport.sockets import send_now
from ..events.session import FellBehindError, Session

STALL_TIMEOUT_S = 2.0  # a connection that accepts no data for this time is closed
BATCHES_PER_PUSH = 4  # maximum number of batches written before the greenlet takes over


class WatchWriter:
    """Writes without blocking as far as the kernel accepts data, and the rest in a separate greenlet.

    Args:
        session: The session that provides the data.
        sock: The socket to write to.
        spawn: Runs a function in a greenlet.
        close: Closes the connection, with a reason for the counters and a detail for the log.
    """

    def __init__(
        self,
        session: Session,
        sock: socket.socket,
        spawn: Callable[[Callable[[], object]], None],
        close: Callable[[str, str], None],
    ) -> None:
        self._session = session
        self._sock = sock
        self._spawn = spawn
        self._close = close
        self._stopped = False
        self._greenlet_running = False
        self._wake = Event()  # set when there may be new data, or to stop the greenlet

    def stop(self) -> None:
        """Stop the greenlet, if any, so that nothing is written after the connection was closed."""
        self._stopped = True
        self._wake.set()

    def push(self, now: int) -> None:
        """Write without blocking; the greenlet writes the rest, and the later portions of a snapshot."""
        if self._greenlet_running:
            self._wake.set()
            return
        try:
            self._write_batches(now)
        except FellBehindError as error:
            self._close("fell_behind", str(error))
        except OSError as error:
            self._close("lost", str(error))
        if not self._stopped and self._session.time_until_ready(now) is not None:
            self._greenlet_running = True
            self._spawn(self._run_greenlet)

    def _write_batches(self, now: int) -> None:
        for _ in range(BATCHES_PER_PUSH):
            batch = self._session.next_batch(now)
            if not batch:
                return
            self._session.record_written(batch, send_now(self._sock, batch))
            if self._session.unwritten:
                return

    def _run_greenlet(self) -> None:
        try:
            self._write_until_current()
        except TimeoutError:
            self._close("slow", f"the watcher accepted no data for {STALL_TIMEOUT_S:g} s")
        except FellBehindError as error:
            self._close("fell_behind", str(error))
        except OSError as error:
            self._close("lost", str(error))
        finally:
            self._greenlet_running = False

    def _write_until_current(self) -> None:
        """Write until the watcher was sent all events; wait for its reads and between snapshot portions."""
        while not self._stopped:
            batch = self._session.next_batch(clock.now())
            if batch:
                with gevent.Timeout(STALL_TIMEOUT_S, TimeoutError):
                    count = self._sock.send(batch)
                self._session.record_written(batch, count)
                gevent.sleep(0)
                continue
            pause = self._session.time_until_ready(clock.now())
            if pause is None:
                return
            self._wake.wait(pause / SECOND_NS)
            self._wake.clear()

    def heartbeat(self) -> None:
        """Send the number of the last event if the watcher was sent all events."""
        line = b"" if self._greenlet_running else self._session.heartbeat_line()
        if not line:
            return
        try:
            self._session.record_written(line, send_now(self._sock, line))
        except OSError as error:
            self._close("lost", str(error))
            return
        self.push(clock.now())
