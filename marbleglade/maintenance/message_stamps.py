"""Stamps of one member's messages: from a stamp that an answer echoes, its message's time is looked up."""

from __future__ import annotations

from dataclasses import dataclass, field

# The most stamps that are kept for look-up: `MIN_STAMPS` and `STAMPS_PER_MEMBER` for each member.
MIN_STAMPS = 64
STAMPS_PER_MEMBER = 16
MAX_STAMP = 0xFFFF_FFFF  # stamps are 32-bit numbers that wrap around


@dataclass(slots=True)
class MessageStamps:
    """Allocates the stamps of one member's messages.

    Attributes:
        last: Stamp of the last message.
        sent_at: When each message was sent, ns, by its stamp; the oldest entries are deleted.
    """

    last: int = 0
    sent_at: dict[int, int] = field(default_factory=dict)

    def issue(self, member_count: int, now: int) -> int:
        """Return the stamp of a message that is sent now, in a fleet of `member_count` members."""
        self.last = (self.last + 1) & MAX_STAMP
        self.sent_at[self.last] = now
        while len(self.sent_at) > MIN_STAMPS + STAMPS_PER_MEMBER * member_count:
            del self.sent_at[next(iter(self.sent_at))]
        return self.last
