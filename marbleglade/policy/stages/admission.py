"""The first stage for requests and the last stage for results.

It rejects or fails the requests that the retry stage did not retry. It never rejects a new request: the
`routing` stage rejects new requests on overload.
"""

from __future__ import annotations

from ...model.attempt import Attempt
from ...model.parameters import Parameters
from ...model.policy_protocol import PolicyHost
from ...model.request import Request
from ...runtime.units import SECOND_NS
from ..cache_priority import cache_priority
from ..load_estimate import LoadEstimate
from ..object_history import ObjectHistories, ObjectHistory
from ..rejection import Rejection
from ..request_context import RequestContext
from ..retry_budget import RetryBudget
from .stage import RequestStage

DEFAULT_FLOW_KB_PER_S = 1.0  # used when the settings state no throughput of a transfer


class Admission:
    """Creates the context of each request: transfer time, use count of the object, latency objective."""

    def __init__(
        self,
        host: PolicyHost,
        parameters: Parameters,
        histories: ObjectHistories,
        load: LoadEstimate,
        retry_budget: RetryBudget,
        rejection: Rejection,
        next_stage: RequestStage,
    ) -> None:
        self._host = host
        self._parameters = parameters
        self._histories = histories
        self._load = load
        self._retry_budget = retry_budget
        self._rejection = rejection
        self._next_stage = next_stage

    def handle_request(self, request: Request) -> None:
        """Create the context of a request and pass it on."""
        now, request_class = self._host.now(), request.request_class
        history = self._histories.get(request.object_id, request.part)
        context = request.context = self._create_context(request, history)
        if context.size_known:
            self._load.observe_transfer_time(request_class, context.transfer_time)
        # The objective starts when the request was read. How long the request waited to be read is known
        # only as an upper bound. If that bound counted, every request that arrived while this front was
        # delayed would be rejected.
        objective = request_class.latency_objective + int(
            request_class.objective_stretch * context.transfer_time
        )
        context.objective_at = min(now + objective, request.deadline)
        if not request.is_client_retry:  # only first requests add to the retry budget
            self._retry_budget.deposit()
        self._next_stage.handle_request(request)

    def handle_result(self, attempt: Attempt) -> bool:
        """Reject or fail the request; the retry stage has already stored the reason in the request."""
        self._rejection.give_up(attempt.request)
        return True

    def _create_context(self, request: Request, history: ObjectHistory) -> RequestContext:
        """Return the context of a request, and add the request to the history of its object."""
        flow_kb_per_s = self._parameters.flow_kb_per_s or DEFAULT_FLOW_KB_PER_S
        known_transfer_time = int(request.size_kb / flow_kb_per_s * SECOND_NS) or history.transfer_time
        context = RequestContext(
            history,
            transfer_time=known_transfer_time or self._load.mean_transfer_time(request.request_class),
            size_known=bool(known_transfer_time),
            is_new_object=not history.uses,
        )
        history.uses += not request.is_client_retry
        history.transfer_time = known_transfer_time
        context.cache_priority = cache_priority(history.uses, request.request_class.uncacheable)
        return context
