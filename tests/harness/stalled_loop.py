"""A loop monitor for components that exclude the time of process stalls from their time measurements."""


class FakeLoopMonitor:
    """A loop monitor whose time and total delay the test sets, in ns."""

    def __init__(self) -> None:
        self.time = self.delay = 0

    def now(self) -> int:
        """The current time in ns."""
        return self.time

    def total_delay_until(self, now: int) -> int:
        """The sum of all delays of the event loop in ns."""
        return self.delay
