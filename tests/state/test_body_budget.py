"""Reservations of memory for response bodies."""

import gevent

from marbleglade.state.body_budget import BodyBudget


def test_reservations_are_granted_in_order_of_arrival_and_released_when_cancelled():
    budget, granted = BodyBudget(100), []
    budget.reserve(80)
    waiting = [
        gevent.spawn(lambda size=size: (budget.reserve(size), granted.append(size))) for size in (50, 10, 10)
    ]
    gevent.sleep(0)
    assert budget.has_waiters and granted == []  # the small reservations wait behind the large one
    waiting[1].kill()
    budget.release(80)
    gevent.joinall(waiting, timeout=2)
    assert granted == [50, 10] and budget.free_bytes == 40 and not budget.has_waiters
