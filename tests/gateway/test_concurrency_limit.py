"""The limit on requests in flight at a region: low after an outage, then growing, lowered by overload."""

from marbleglade.gateway.concurrency_limit import ConcurrencyLimit


def acquire_all(limit):
    """Acquire until the limit is reached, and return how often that succeeded."""
    return sum(limit.try_acquire() for _ in range(1000))


def test_the_limit_doubles_from_low_after_a_restart_and_stays_within_its_maximum():
    limit = ConcurrencyLimit(640, 10, 100)
    limit.restart(0)
    acquired_by_round = []
    for _ in range(8):
        acquired = acquire_all(limit)
        acquired_by_round.append(acquired)
        for _ in range(acquired):
            limit.release_served()
    assert acquired_by_round[:5] == [10, 20, 40, 80, 160]
    assert max(acquired_by_round) <= 640 and not limit.in_flight


def test_many_rejections_at_once_lower_the_limit_once():
    limit = ConcurrencyLimit(640, 10, 100)
    limit.restart(0)
    for _ in range(8):
        for _ in range(acquire_all(limit)):
            limit.release_served()
    before = limit.limit
    for _ in range(3):
        limit.try_acquire()
        limit.release_failed(True, 200)
    assert limit.limit == before * 0.7
