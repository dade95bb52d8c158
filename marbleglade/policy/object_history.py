"""Request history of objects, which is kept for longer than directory entries."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass

from ..model.upstream import Upstream

ObjectKey = tuple[int, int]  # object ID and part number


@dataclass(slots=True, eq=False)
class ObjectHistory:
    """The request history of one part of an object."""

    uses: int = 0  # number of requests, without client retries
    transfer_time: int = 0  # ns at full throughput; 0 if unknown
    likely_holder: Upstream | None = None  # the cache that last served the part and should hold it
    answered_at: int = 0  # when that cache last served the part, ns


class ObjectHistories:
    """The histories of the most recently requested parts (LRU)."""

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._histories: OrderedDict[ObjectKey, ObjectHistory] = OrderedDict()

    def get(self, object_id: int, part: int) -> ObjectHistory:
        """Return the history of a part and mark it as most recently used; create it if it is missing."""
        key = object_id, part
        history = self._histories.get(key)
        if history is None:
            history = self._histories[key] = ObjectHistory()
        else:
            self._histories.move_to_end(key)
        if len(self._histories) > self._max_entries:
            self._histories.popitem(last=False)
        return history

    def most_used(self, count: int) -> list[ObjectKey]:
        """Return the `count` most requested parts, in descending order of requests."""
        return heapq.nlargest(count, self._histories, key=lambda key: self._histories[key].uses)
