"""The offset of another region's clock: it always lies within its bounds, and clock jumps are detected."""

import zlib

import pytest

from marbleglade.gateway.clock_offset import ClockOffset
from tests.harness.units import NS_PER_MS as MS

START = 10**18
NS_PER_S = 10**9
PPM = 10**6


def seeded_fraction(*seed):
    """Return a number from 0 to 1 that depends only on the seed."""
    return zlib.crc32(" ".join(map(str, seed)).encode()) / 2**32


@pytest.mark.parametrize("offset_s", [-5, 0, 5])
@pytest.mark.parametrize("drift_ppm", [-400, 0, 400])
def test_the_offset_always_lies_within_its_bounds(offset_s, drift_ppm):
    """The delays of both directions differ and vary, and the peer's clock drifts for a minute."""
    clock_offset = ClockOffset(500)
    now = START

    def peer_clock(local_time):
        return local_time + offset_s * NS_PER_S + (local_time - START) * drift_ppm // PPM

    for step in range(600):
        out_ns, back_ns = (
            int(seeded_fraction(way, step, drift_ppm) ** 3 * 80 * MS) + MS for way in ("there", "back")
        )
        peer_received = now + out_ns
        peer_sent = peer_received + MS * (step % 5)
        received = peer_sent + back_ns
        assert clock_offset.add_exchange(now, peer_clock(peer_received), peer_clock(peer_sent), received)
        now = received + 100 * MS
        low, high = clock_offset.bounds(now)
        assert low <= peer_clock(now) - now <= high
        earliest, latest = clock_offset.to_local(peer_clock(now - 50 * MS), now)
        assert earliest <= now - 50 * MS + MS // 10 and latest >= now - 50 * MS - MS // 10
    assert high - low < 12 * MS and not clock_offset.clock_jumps  # the shortest exchanges set the bounds


def test_a_clock_jump_discards_the_earlier_exchanges():
    clock_offset = ClockOffset(500)
    assert clock_offset.add_exchange(0, 100 * MS, 100 * MS, 10 * MS)
    assert clock_offset.add_exchange(20 * MS, 5120 * MS, 5120 * MS, 30 * MS)
    assert clock_offset.clock_jumps == 1
    assert clock_offset.bounds(30 * MS) == (5090 * MS, 5100 * MS)


def test_an_exchange_with_contradictory_times_is_rejected():
    clock_offset = ClockOffset(500)
    assert clock_offset.add_exchange(0, 100 * MS, 100 * MS, 10 * MS)
    assert not clock_offset.add_exchange(10, 100, 50, 20)
    assert not clock_offset.add_exchange(10, 5, 5, 1)
