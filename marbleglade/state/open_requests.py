"""The requests without a response, each with the attempts and the decision ordered by the policy."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from gevent.event import Event

from ..model.attempt import Attempt
from ..model.request import Request
from .decisions import AttemptOrder, Decision
from .local_cache import PURGE_TOLERANCE
from .purge_history import UNKNOWN_GROUP
from .purge_index import PurgeIndex


@dataclass(slots=True, eq=False)
class OpenRequest:
    """An open request and the work in progress for it.

    Attributes:
        request: The request.
        pending_steps: Attempt orders and the decision that the handler has not fetched yet, in order.
        step_waiter: Event to set when a step is added; None while no greenlet waits for a step.
        in_flight: The orders of the attempts in flight.
        decided: True once the final decision has been added to the steps.
    """

    request: Request
    pending_steps: deque[AttemptOrder | Decision] = field(default_factory=deque)
    step_waiter: Event | None = None
    in_flight: dict[Attempt, AttemptOrder] = field(default_factory=dict)
    decided: bool = False


class OpenRequests:
    """All open requests. Those with a response from the local cache are indexed for purges.

    Args:
        max_open: Number of open requests at which further ones should be rejected; 0 for no limit.
    """

    def __init__(self, max_open: int) -> None:
        self.max_open = max_open
        self.by_request: dict[Request, OpenRequest] = {}
        self._requests_with_cached: PurgeIndex[Request] = PurgeIndex(UNKNOWN_GROUP)

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self.by_request)

    @property
    def full(self) -> bool:
        """True if no further request should be admitted."""
        return bool(self.max_open) and len(self.by_request) >= self.max_open

    def add(self, request: Request) -> OpenRequest:
        """Open a request; its cached response, if any, must already be attached."""
        open_request = OpenRequest(request)
        self.by_request[request] = open_request
        if request.cached:
            self._requests_with_cached.add(request, request.object_id, request.group)
        return open_request

    def remove(self, request: Request) -> None:
        """Remove a request; does nothing if it is not open."""
        self.by_request.pop(request, None)
        self._requests_with_cached.discard(request)

    def purge(self, object_id: int, group: int, purged_at: int) -> None:
        """Detach the cached responses older than a purge of an object or, if `object_id` is 0, of a group.

        A request that is already decided keeps its cached response: it was decided before the purge.
        """
        for request in self._requests_with_cached.matching(object_id, group):
            cached = request.cached
            if not cached or cached.issued_at > purged_at + PURGE_TOLERANCE:
                continue
            if not self.by_request[request].decided:
                request.cached = None
                self._requests_with_cached.discard(request)
