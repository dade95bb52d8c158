"""Conversion of Unix times to times of the monotonic clock."""

from marbleglade.runtime import clock
from tests.harness.units import NS_PER_MS


def test_unix_times_are_converted_to_the_monotonic_clock():
    early, late = clock.from_unix_ms(1000), clock.from_unix_ms(3000)
    assert abs(late - early - 2000 * NS_PER_MS) < 100 * NS_PER_MS and late < clock.now()
