"""A front's shares of the fleet's quotas, in proportion to its load rather than equal for all fronts.

This module does no I/O, reads no clock and has no randomness; times are nanoseconds of the caller's monotonic
clock.
"""

from __future__ import annotations

from .load_view import AggregatedView

# Bounds of the factor on a front's own retry budget.
MAX_RETRY_FACTOR = 4  # applies while the other fronts leave most of their budgets unused
MIN_RETRY_FACTOR = 1 / 8  # applies while all fronts together exceed their budget

MIN_SHARE_DIVISOR = 8  # a traffic share is at least an equal share divided by this
# With a traffic share of this many equal shares, a front saves up as many retries as one without a fleet.
STANDALONE_FRONTS = 8
MIN_BURST_FACTOR = 1 / 2  # smallest part of a standalone front's burst, before the budget factor applies
MAX_SHED_RATIO = 3  # most rejected requests for each admitted one
AGING_PERIODS = 4  # periods after the expiry of a view after which a share has its standalone value


def traffic_share(own_load: int, view: AggregatedView) -> float:
    """Return this front's part of the fleet's load, in (0, 1]; `own_load` has the unit of `view.load_ms`."""
    fronts = max(1, view.fronts)
    if view.load_ms <= 0:
        return 1 / fronts
    return min(1.0, max(own_load / view.load_ms, 1 / (MIN_SHARE_DIVISOR * fronts)))


def retry_budget_factor(view: AggregatedView, retry_ratio: float) -> float:
    """Return the factor on a front's own retry budget.

    All fronts together have one budget. While most of it is unused, the factor is above 1, so that a front
    may use more than its own budget. While the common budget is exceeded, the factor is below 1.

    Args:
        view: The load of the fleet.
        retry_ratio: Retries allowed for each first request.
    """
    budget = retry_ratio * view.first_requests
    if budget <= 0:
        return 1.0
    if view.retry_cost <= 0:
        return MAX_RETRY_FACTOR
    return min(MAX_RETRY_FACTOR, max(MIN_RETRY_FACTOR, budget / view.retry_cost))


def retry_burst_factor(share: float, fronts: int, budget_factor: float) -> float:
    """Return the factor on the retries that a standalone front may save up.

    It is lower for a front with little load, and for all fronts while they together exceed their budget.

    Args:
        share: This front's traffic share.
        fronts: Number of fronts in the view.
        budget_factor: This front's retry budget factor.
    """
    by_traffic = min(1.0, max(MIN_BURST_FACTOR, share * fronts / STANDALONE_FRONTS))
    return by_traffic * min(1.0, budget_factor)


def shed_ratio(view: AggregatedView) -> float:
    """Return the requests rejected for each one admitted; a higher ratio lengthens the clients' backoff."""
    return min(MAX_SHED_RATIO, view.rejected / max(1, view.first_requests - view.rejected))


def age_share(assigned: float, standalone: float, age: int, period: int) -> float:
    """Return a share between its assigned and its standalone value, by the age since the view expired, ns."""
    weight = min(1.0, max(0.0, age / (AGING_PERIODS * period)))
    return assigned * (1 - weight) + standalone * weight
