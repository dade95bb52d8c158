"""Queue of member updates to piggyback on probes and acknowledgements."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .gossip_messages import MemberUpdate

RETRANSMIT_FACTOR = 3  # transmissions of an update per base-2 logarithm of the number of members plus one


@dataclass(slots=True)
class QueuedUpdate:
    """An update and the number of times it is still to be sent."""

    transmissions_left: int
    update: MemberUpdate


class UpdateQueue:
    """The latest update about each member, which is sent a bounded number of times."""

    def __init__(self) -> None:
        self.entries: dict[int, QueuedUpdate] = {}  # by member number

    def __contains__(self, number: int) -> bool:
        return number in self.entries

    def put(self, update: MemberUpdate, member_count: int) -> None:
        """Queue an update, which replaces an earlier one about the same member."""
        transmissions = math.ceil(RETRANSMIT_FACTOR * math.log2(member_count + 1))
        self.entries[update.number] = QueuedUpdate(transmissions, update)

    def discard(self, number: int) -> None:
        """Drop the update about a member, if there is one."""
        self.entries.pop(number, None)

    def clear(self) -> None:
        """Drop all updates."""
        self.entries.clear()

    def take(self, limit: int, excluded: int | None) -> list[MemberUpdate]:
        """Return up to `limit` updates, the least transmitted first, and count each as sent once.

        Args:
            limit: Most updates to return.
            excluded: The number of a member whose update is not returned.
        """
        selected: list[MemberUpdate] = []
        for number, entry in sorted(self.entries.items(), key=lambda item: -item[1].transmissions_left):
            if len(selected) >= limit:
                break
            if number == excluded:
                continue
            selected.append(entry.update)
            entry.transmissions_left -= 1
            if entry.transmissions_left <= 0:
                del self.entries[number]
        return selected
