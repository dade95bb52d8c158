"""Signal handling of a server program, from its first statement to its last.

The default action of a signal terminates the process, even if it has not yet written all its output. So
signals are held while the program starts, then handled by its event loop, and ignored while it exits: during
their teardown, the event loop and the interpreter restore the default action of each signal with a handler.

This module imports nothing that is slow to load, because a program calls `hold` first.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Mapping
from functools import partial
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import gevent

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2, *SHUTDOWN_SIGNALS)

Handler = Callable[[], object]


class ProcessSignals:
    """Handles the signals of this process. Use the only instance, `process_signals`."""

    def __init__(self) -> None:
        self._pending: list[signal.Signals] = []
        self._handlers: dict[signal.Signals, Handler] = {}
        self._watchers: list[gevent.signal_handler] = []

    def hold(self) -> None:
        """Hold signals until `deliver_pending`; until `handle`, a shutdown signal exits with code 0.

        An immediate exit is safe, as nothing is served or partly written at that time. An exception raised
        by the signal handler could be caught by startup code, and a flag would not end a call that hangs.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._add_pending)
        for number in SHUTDOWN_SIGNALS:
            signal.signal(number, lambda *_: os._exit(0))

    def handle(self, handlers: Mapping[signal.Signals, Handler], ignored: Callable[[str], object]) -> None:
        """Let the event loop handle all signals from now on.

        Args:
            handlers: Handler of each signal, called in a separate greenlet.
            ignored: Called with the name of a signal that has no entry in `handlers`.
        """
        import gevent

        self._handlers = {
            number: handlers.get(number) or partial(ignored, number.name) for number in HANDLED_SIGNALS
        }
        for number, handler in self._handlers.items():
            self._watchers.append(gevent.signal_handler(number, handler))

    def deliver_pending(self) -> None:
        """Call the handler of each held signal once, when the program has started."""
        pending, self._pending = self._pending, []
        for number in pending:
            self._handlers[number]()

    def ignore(self) -> None:
        """Ignore all signals from now on, because the process exits; held and pending signals are dropped.

        Signals are blocked during the change, because cancelling a watcher restores the default action.
        """
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
        for watcher in self._watchers:
            watcher.cancel()
        self._watchers = []
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)

    def _add_pending(self, number: int, _: object) -> None:
        arrived = signal.Signals(number)
        if arrived not in self._pending:
            self._pending.append(arrived)


process_signals = ProcessSignals()
