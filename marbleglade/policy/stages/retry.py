"""The stage that decides whether a failed attempt is retried."""

from __future__ import annotations

from ...model.attempt import NEVER_RUN_RESULTS, Attempt, AttemptResult
from ...model.parameters import Parameters
from ...model.policy_protocol import PolicyHost
from ...model.request import Request
from ...model.upstream import UpstreamRole
from ..durations import Durations
from ..rejection_reasons import NoRetryReason
from ..retry_budget import RETRY_PRICE, RetryBudget
from .stage import RequestStage

# Price of a retry after an attempt that ended quickly without having run.
QUICK_REJECTION_PRICE = RETRY_PRICE / 4
STALE_ENTRY_PRICE = 0  # price of a retry after a miss at a sibling that the directory still listed
MAX_UNEXPLAINED_ERRORS = 2  # with more errors, an object of unknown size is taken as not existing


class Retry:
    """Passes a request to the later stages again while its deadline and the retry budget allow a retry."""

    def __init__(
        self,
        host: PolicyHost,
        parameters: Parameters,
        durations: Durations,
        retry_budget: RetryBudget,
        next_stage: RequestStage,
    ) -> None:
        self._host = host
        self._parameters = parameters
        self._quick_rejection_time = durations.shortest_objective
        self._retry_budget = retry_budget
        self._next_stage = next_stage

    def handle_request(self, request: Request) -> None:
        """Pass a new request on for its first attempt."""
        self._next_stage.handle_request(request)

    def handle_result(self, attempt: Attempt) -> bool:
        """Retry the request if that is allowed.

        Returns:
            True if the last attempt has ended and no retry is allowed. The reason is then stored in the
            request, and the admission stage rejects or fails it.
        """
        request = attempt.request
        if request.finished or request.context.response_started:
            return False
        if any(each.result is None for each in request.attempts):
            return False  # another attempt may still get a response
        price = self._price(attempt)
        if reason := self._reason_against_retry(attempt, price):
            request.reason = reason.value
            return True
        self._retry_budget.withdraw(price)
        self._next_stage.handle_request(request)
        return False

    def _price(self, attempt: Attempt) -> float:
        """Return the price of a retry after this attempt, in tokens of the retry budget."""
        if self._is_stale_directory_entry(attempt):
            return STALE_ENTRY_PRICE
        rejected_at_once = (
            attempt.result in NEVER_RUN_RESULTS and attempt.latency < self._quick_rejection_time
        )
        return QUICK_REJECTION_PRICE if rejected_at_once else RETRY_PRICE

    def _reason_against_retry(self, attempt: Attempt, price: float) -> NoRetryReason | None:
        """Return why the attempt must not be retried; None if a retry is allowed."""
        request = attempt.request
        if self._is_object_missing(attempt):
            return NoRetryReason.OBJECT_NOT_FOUND
        if attempt.result is AttemptResult.NOT_STARTED:
            return NoRetryReason.NOT_STARTED
        if len(request.attempts) >= self._parameters.max_attempts:
            return NoRetryReason.ATTEMPT_LIMIT
        if not self._retry_budget.has_tokens(price):
            return NoRetryReason.BUDGET_EMPTY
        if request.client_half_closed:  # the client has most likely left
            return NoRetryReason.CLIENT_HALF_CLOSED
        if self._host.now() + request.context.transfer_time >= request.deadline:
            return NoRetryReason.DEADLINE
        return None

    def _is_object_missing(self, attempt: Attempt) -> bool:
        if attempt.result is AttemptResult.MISS and not self._is_stale_directory_entry(attempt):
            return True
        errors = sum(each.result is AttemptResult.ERROR for each in attempt.request.attempts)
        return errors > MAX_UNEXPLAINED_ERRORS and not attempt.request.context.size_known

    @staticmethod
    def _is_stale_directory_entry(attempt: Attempt) -> bool:
        """Return whether the fill source was a sibling in the directory that no longer held the object."""
        return (
            attempt.result is AttemptResult.MISS
            and attempt.fill_source.role is UpstreamRole.CACHE
            and attempt.fill_source is not attempt.upstream
        )
