"""Units of time in ns, and the time at which simulated clocks start."""

NS_PER_MS = 1_000_000
SECOND_NS = 1000 * NS_PER_MS
START_NS = 1_000_000 * NS_PER_MS
