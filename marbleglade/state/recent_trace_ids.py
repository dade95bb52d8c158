"""Detection of reused trace ids: clients use each id once, so a repeat is an error or an attack."""

from __future__ import annotations

from collections import OrderedDict

MAX_TRACE_IDS = 1 << 14  # limit on the number of ids kept; above it, the oldest one is dropped


class RecentTraceIds:
    """The trace ids received recently.

    Args:
        retention: Time for which an id is kept, ns.
    """

    def __init__(self, retention: int) -> None:
        self.retention = retention
        self.seen_at: OrderedDict[str, int] = OrderedDict()

    def is_new(self, trace: str, now: int) -> bool:
        """Record a trace id; return False if it was already received within the retention."""
        trace = trace.lower()
        while self.seen_at and now - next(iter(self.seen_at.values())) > self.retention:
            self.seen_at.popitem(last=False)
        if trace in self.seen_at:
            return False
        self.seen_at[trace] = now
        if len(self.seen_at) > MAX_TRACE_IDS:
            self.seen_at.popitem(last=False)
        return True
