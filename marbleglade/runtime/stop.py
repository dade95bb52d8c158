"""The end of a front: after SIGTERM it answers until nothing is open and nothing can come any more."""

from __future__ import annotations

# The platform's figures: how long clients may still come after SIGTERM, and how long a front has at least.
STILL_COME = 700_000_000
LONGEST_WAIT = 3_000_000_000


class Stop:
    def __init__(self, longest_timeout: int) -> None:
        self.asked_at = 0
        # What is still open then is given up, so that it is answered before the front is killed: a tenth of
        # the wait ahead of that, or a seventh of STILL_COME where that is short: bytes have to be written.
        wait = min(longest_timeout, LONGEST_WAIT)
        self.last_call = STILL_COME + max(0, wait - max(wait // 10, STILL_COME // 7))

    def ask(self, now: int) -> None:
        self.asked_at = self.asked_at or now

    def given_up(self, now: int) -> bool:
        return bool(self.asked_at) and now - self.asked_at >= self.last_call

    def over(self, now: int, still_owed: int) -> bool:
        """Nothing is owed, and what comes now comes too late to count as taken."""
        return bool(self.asked_at) and now - self.asked_at >= STILL_COME and not still_owed
