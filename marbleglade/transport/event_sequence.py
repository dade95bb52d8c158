"""Keeps discovery events in the order of their indexes, drops duplicates, and detects missing events."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from ..model.watch_event import EndpointListChange, Heartbeat, Purge, UnknownEvent, WatchEvent
from ..protocols.discovery_protocol import EventDecoder, GarbledLineError, InvalidLineError
from ..runtime import clock
from ..runtime.error_guard import ErrorGuard

NO_INDEX = -1


class MissingEventError(InvalidLineError):
    """An index was skipped: the events after `EventSequence.last_index` have to be requested again."""


class EventNotAppliedError(InvalidLineError):
    """An event could not be applied and has to be requested again."""


class IndexRestartError(InvalidLineError):
    """The service has restarted and its indexes start at 1 again: all events have to be requested."""


class WatchCallbacks(NamedTuple):
    """The functions that a watch calls for received events.

    Attributes:
        handle_event: Applies an event; if it raises an exception, the event is requested once more.
        handle_heartbeat: Handles a heartbeat; its argument says whether all events sent so far were handled
            or skipped.
        handle_index_restart: Called when the service has restarted its indexes.
    """

    handle_event: Callable[[EndpointListChange | Purge], None]
    handle_heartbeat: Callable[[bool], None] = lambda _complete: None
    handle_index_restart: Callable[[], None] = lambda: None


class EventSequence:
    """Passes events on in the order of their indexes and drops duplicates.

    There are three faults: a gap in the indexes, an undecodable line, and an event that can't be applied. A
    fault ends the connection, so that the events after `last_index` are requested again, which passes an
    event that could not be applied on a second time. If the same fault occurs again at the same index, the
    gap, line or event is skipped, since the events after it are needed too.

    Args:
        last_index: Initial value of the attribute `last_index`.
        callbacks: The functions that handle the events.
        guard: Counts and logs errors.
        accept_restart: Whether the service may restart its indexes. If not, a heartbeat with a lower index is
            out of date.

    Attributes:
        last_index: Index of the last event that was applied, skipped or of an unknown kind.
        confirmed_at: When a heartbeat last confirmed that no event after `last_index` has been sent, ns; 0 if
            none has confirmed it yet.
    """

    def __init__(
        self, last_index: int, callbacks: WatchCallbacks, guard: ErrorGuard, accept_restart: bool = False
    ) -> None:
        self.last_index = last_index
        self.confirmed_at = 0
        self._callbacks = callbacks
        self._guard = guard
        self._counters = guard.counters
        self._accept_restart = accept_restart
        # For each fault, the index at which it last caused a new request. For a gap and an undecodable line,
        # this is the value of `last_index` at that time; for an event that can't be applied, its own index.
        self._gap_retry_index = NO_INDEX
        self._undecodable_retry_index = NO_INDEX
        self._apply_retry_index = NO_INDEX

    def decode(self, decoder: EventDecoder, data: bytes | memoryview) -> Iterator[WatchEvent]:
        """Yield the events in the bytes of a connection.

        An undecodable line is skipped if events were requested again already for one at the same index.

        Raises:
            GarbledLineError: A line is undecodable, and events have to be requested again.
        """
        while True:
            try:
                yield from decoder.feed(data)
                return
            except GarbledLineError:
                if self._undecodable_retry_index != self.last_index:
                    self._undecodable_retry_index = self.last_index
                    raise
                self._counters.add("discovery.skipped_line")
                data = b""

    def receive(self, event: WatchEvent) -> None:
        """Handle an event if its index is the next one, or if the gap before it was requested again already.

        An event whose index is not above `last_index` has no effect.

        Raises:
            InvalidLineError: The events after `last_index` have to be requested again.
        """
        if isinstance(event, Heartbeat):
            self._receive_heartbeat(event)
            return
        self._check_gap(event.index, self.last_index + 1)
        if event.index <= self.last_index:
            self._counters.add("discovery.duplicate")
            return
        if isinstance(event, UnknownEvent):
            self._counters.add("discovery.unknown_event")
        else:
            self._apply(event)
        self.last_index = event.index
        self._counters.add("discovery.events")

    def _receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        if self._accept_restart and heartbeat.index < self.last_index:
            self._counters.add("discovery.index_restart")
            self.last_index, self._gap_retry_index = 0, NO_INDEX
            self._callbacks.handle_index_restart()
            raise IndexRestartError("the discovery service has restarted its indexes")
        self._check_gap(heartbeat.index, self.last_index)
        complete = heartbeat.index == self.last_index
        if complete:
            self.confirmed_at = clock.now()
        self._callbacks.handle_heartbeat(complete)

    def _check_gap(self, index: int, highest_expected: int) -> None:
        """Raise `MissingEventError` if `index` shows missing events, but only once per `last_index`."""
        if index > highest_expected and self._gap_retry_index != self.last_index:
            self._gap_retry_index = self.last_index
            raise MissingEventError(f"expected an index up to {highest_expected}, received {index}")

    def _apply(self, event: EndpointListChange | Purge) -> None:
        try:
            self._callbacks.handle_event(event)
        except Exception as error:
            # The event may drain a cache, so it is requested once more before it is skipped.
            self._guard.record("event", error)
            if self._apply_retry_index != event.index:
                self._apply_retry_index = event.index
                raise EventNotAppliedError(f"event {event.index} could not be applied") from error
