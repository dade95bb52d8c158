"""The retry budget, which limits retries to a fixed share of the first requests."""

from __future__ import annotations

from ..model.policy_protocol import PolicyHost
from .fleet_hints import FleetHints

RETRY_PRICE = 1  # tokens withdrawn for a retry at full price
RETRY_BUDGET_RATIO = 0.2  # tokens deposited for each first request
RETRY_BUDGET_BURST = 12  # capacity of the bucket, in tokens
MIN_BURST = 1.0  # tokens; lower bound of the capacity if the fleet lends none: room for one retry


class RetryBudget:
    """A token bucket for retries; the fleet adds unused budget of other fronts to its rate and capacity.

    Attributes:
        tokens: Tokens available.
        first_requests: Number of requests since the process started that were not client retries.
        spent: Tokens withdrawn since the process started.
    """

    def __init__(self, host: PolicyHost, fleet_hints: FleetHints) -> None:
        self._host = host
        self._fleet_hints = fleet_hints
        self.tokens = float(RETRY_BUDGET_BURST)
        self.first_requests = 0
        self.spent = 0.0

    def deposit(self) -> None:
        """Count a first request, which is not a client retry, and deposit tokens for it.

        There is one deposit for each request, independent of its number of attempts.
        """
        self.first_requests += 1
        view = self._fleet_hints.current_view(self._host.now())
        burst_factor = view.retry_burst_factor if view else 1.0
        ratio_factor = view.retry_budget_factor if view else 1.0
        burst = max(RETRY_BUDGET_BURST * burst_factor, MIN_BURST)
        self.tokens = min(burst, self.tokens + RETRY_BUDGET_RATIO * ratio_factor)

    def has_tokens(self, price: float) -> bool:
        """Return whether `price` tokens are available; none are reserved."""
        return self.tokens >= price

    def withdraw(self, price: float) -> None:
        """Withdraw tokens for a retry without a check; call it only after `has_tokens` returned True."""
        self.tokens -= price
        self.spent += price
