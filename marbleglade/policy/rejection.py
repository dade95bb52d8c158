"""Ends requests that cannot be served: rejects or fails them."""

from __future__ import annotations

from ..model.parameters import Parameters
from ..model.policy_protocol import PolicyHost
from ..model.request import Request
from .durations import Durations
from .fleet_hints import FleetHints
from .numbered_random import NumberedRandom

MIN_RETRY_AFTER_FACTOR = 0.5  # ratio of the shortest Retry-After to the base value


class Rejection:
    """Rejects requests with a randomised Retry-After, or fails them if a retry may repeat an effect."""

    def __init__(
        self,
        host: PolicyHost,
        parameters: Parameters,
        durations: Durations,
        fleet_hints: FleetHints,
        random: NumberedRandom,
    ) -> None:
        self._host = host
        self._fleet_hints = fleet_hints
        self._random = random
        self._retry_after = 0  # base value of Retry-After, ns; 0 if none is sent
        if parameters.sends_retry_after:
            self._retry_after = min(durations.shortest_objective, parameters.max_retry_after)
        self.count = 0  # number of requests rejected since the start of the process

    def give_up(self, request: Request, reason: str = "") -> None:
        """Reject a request at once if its client may safely retry it, else fail it.

        Args:
            request: The request, which must be open.
            reason: The reason to log; if empty, the reason that the request already has is kept.
        """
        request.reason = reason or request.reason
        if not request.request_class.safe_to_retry and any(each.may_have_run for each in request.attempts):
            self._host.fail(request)
            return
        self.count += 1
        # Randomised so that clients do not retry at the same moment. The spread widens as the fleet sheds
        # a larger share of its load.
        view = self._fleet_hints.current_view(self._host.now())
        spread = self._random.draw() * (1 + view.shed_ratio if view else 1)
        self._host.reject(request, int(self._retry_after * (MIN_RETRY_AFTER_FACTOR + spread)))
