"""A limit on the memory that a front uses for response bodies in transfer."""

from __future__ import annotations

from collections import deque

from gevent.event import Event


class BodyBudget:
    """A byte budget shared by all bodies in transfer. Reservations are granted in order of arrival.

    Attributes:
        max_bytes: Size of the budget.
        free_bytes: Bytes not reserved. Negative while unconditional reservations exceed the budget.
        waiting: Reservations not granted yet, oldest first: number of bytes, and an event set when granted.

    Args:
        max_bytes: Size of the budget.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.free_bytes = max_bytes
        self.waiting: deque[tuple[int, Event]] = deque()

    def reserve(self, size: int) -> None:
        """Reserve bytes; block until they are free and all earlier reservations are granted."""
        if not self.waiting and size <= self.free_bytes:
            self.free_bytes -= size
            return
        granted = Event()
        reservation = (size, granted)
        self.waiting.append(reservation)
        try:
            granted.wait()
        except BaseException:
            if granted.is_set():  # granted, but the greenlet was killed before it resumed
                self.release(size)
            else:
                self.waiting.remove(reservation)
                self.release(0)  # a later, smaller reservation may fit now
            raise

    def reserve_unconditionally(self, size: int) -> None:
        """Reserve bytes that are already in use, even if that exceeds the budget."""
        self.free_bytes -= size

    def release(self, size: int) -> None:
        """Return bytes to the budget, and grant the waiting reservations that fit now."""
        self.free_bytes += size
        while self.waiting and self.waiting[0][0] <= self.free_bytes:
            reserved, granted = self.waiting.popleft()
            self.free_bytes -= reserved
            granted.set()

    def snapshot(self) -> dict[str, int]:
        """Return the values for the status report: total bytes, free bytes, waiting reservations."""
        return {"size": self.max_bytes, "free": self.free_bytes, "waiting": len(self.waiting)}

    @property
    def has_waiters(self) -> bool:
        """True while at least one reservation is waiting; False if no bytes are free but none is waiting."""
        return bool(self.waiting)
