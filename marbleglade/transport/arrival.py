"""Lower bounds on the arrival time of bytes that were read late.

The operating system does not report when bytes arrived. They arrived no earlier than the last moment at which
their socket was found empty: by a read that emptied it, or by a poll of the event loop that did not report
the socket as readable.
"""

from __future__ import annotations

from ..runtime.loop_monitor import LoopMonitor
from ..runtime.units import MILLISECOND_NS

# Loop ticks that a reader has to wait before `LoopMonitor.sockets_empty_at` holds for its socket.
MIN_EMPTY_TICKS = 3
# A message that may have been unread for up to this long, in ns, still counts as having arrived just now. An
# idle loop needs that long for its ticks, and it is well under the 150 ms by which a forwarded deadline is
# shortened.
MAX_USUAL_DELAY_NS = 60 * MILLISECOND_NS


class ArrivalBound:
    """The earliest moment at which the unread bytes of one socket may have arrived.

    The greenlet that reads the socket records its reads and waits here.

    Args:
        loop: The monitor of the event loop.
        empty_at: A moment at which the socket was certainly empty, ns: it did not exist yet, or no connection
            waited in the backlog of its listener.
    """

    __slots__ = ("_backlogged", "_emptied_at", "_loop", "_waiting_since")

    def __init__(self, loop: LoopMonitor, empty_at: int) -> None:
        self._loop = loop
        self._emptied_at = empty_at
        self._waiting_since: int | None = loop.ticks  # in ticks; None while the reader is busy
        self._backlogged = False  # a read left bytes behind, and the sender may hold back more

    def earliest_arrival(self) -> int:
        """Return the earliest moment at which the unread bytes may have arrived, ns."""
        if self._found_empty() or not self._loop.watching:
            return self._loop.sockets_empty_at
        return self._emptied_at

    def _found_empty(self) -> bool:
        """Return whether the reader has waited long enough for polls to prove that the socket was empty."""
        return self._waiting_since is not None and self._loop.ticks - self._waiting_since >= MIN_EMPTY_TICKS

    def may_be_unread_longer_than(self, now: int, duration: int) -> bool:
        """Return whether bytes may have been unread for longer than `duration`, ns.

        Without a running loop monitor this is always true.
        """
        return not self._loop.watching or now - self.earliest_arrival() > duration

    def record_read(self, emptied: bool) -> int:
        """Record a read, and return the earliest moment at which its bytes may have arrived, ns.

        Args:
            emptied: The read left no bytes in the socket.
        """
        earliest = self.earliest_arrival()
        # Bytes that did not fit into the receive buffer arrive only after the bytes before them were read,
        # although the sender may have written them long before.
        self._backlogged = not emptied or (self._backlogged and not self._found_empty())
        self._waiting_since = None
        self._emptied_at = earliest if self._backlogged else self._loop.last_tick
        return earliest

    def start_waiting(self) -> None:
        """Record that the reader waits for the socket again."""
        self._waiting_since = self._loop.ticks

    def stop_waiting(self, found_empty_at: int) -> None:
        """Record that a wait for the socket has ended.

        Args:
            found_empty_at: A moment at which the socket was empty, ns.
        """
        self._emptied_at = max(found_empty_at, self.earliest_arrival())
        self._waiting_since = None


def arrival_time(earliest: int, now: int) -> int:
    """Return the time at which a message counts as arrived, ns.

    This is `now`, or `earliest` if the message may have been unread for longer than `MAX_USUAL_DELAY_NS`.
    """
    return now if now - earliest <= MAX_USUAL_DELAY_NS else earliest
