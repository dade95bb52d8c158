"""Client requests and request classes."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..policy.request_context import RequestContext
    from ..state.decisions import Response
    from .attempt import Attempt


class Idempotency(Enum):
    """Whether it is safe to process a request twice."""

    IDEMPOTENT = 0
    IDEMPOTENT_BY_KEY = 1  # safe within the deduplication window and scope
    NON_IDEMPOTENT = 2


class DeduplicationScope(Enum):
    """Which caches detect a repeated request by its idempotency key."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(slots=True, eq=False)
class RequestClass:
    """One class of requests. Times are in nanoseconds; 0 means "not set".

    Attributes:
        latency_objective: Time within which a response is in time.
        objective_stretch: Extra time for large objects, as a factor on the transfer time.
        client_timeout: Time for which clients wait for a response.
        idempotency: Whether it is safe to process a request twice.
        deduplication_scope: The caches that detect a repeated request.
        deduplication_window: Time for which they detect it.
        freshness_lifetime: Age up to which a cached response is fresh.
        stale_grace: Time after `freshness_lifetime` during which it may be served while fills are slow.
        uncacheable: Whether responses must never be cached.
        priority_weight: Value of one response that is in time.
        mean_transfer_time: The policy's running mean of transfer times; None before the first request.
    """

    latency_objective: int
    objective_stretch: float
    client_timeout: int
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0
    freshness_lifetime: int = 0
    stale_grace: int = 0
    uncacheable: bool = False
    priority_weight: float = 1.0
    mean_transfer_time: float | None = None

    @property
    def safe_to_retry(self) -> bool:
        """True if the request can be repeated safely at any cache."""
        return self.idempotency is Idempotency.IDEMPOTENT or (
            self.idempotency is Idempotency.IDEMPOTENT_BY_KEY
            and self.deduplication_scope is DeduplicationScope.ALL
        )


@dataclass(slots=True, eq=False)
class CachedResponse:
    """A response from the front's own cache.

    Attributes:
        transfer_time: Time to send the response at full throughput, ns.
        issued_at: The time at which the origin issued the response, ns.
        response: The response to send; None in tests of the policy, which does not read it.
    """

    transfer_time: int
    issued_at: int
    response: Response | None = None


@dataclass(slots=True, eq=False)
class Request:
    """One request of a client.

    Attributes:
        request_class: The class of the request.
        object_id: The requested object.
        part: The requested part of the object.
        group: The purge group of the object.
        size_kb: Size of the response, kB; 0 if not known.
        received_at: The time at which the request arrived, ns.
        deadline: The time at which the client stops waiting, ns.
        is_client_retry: Whether the client has sent the request before.
        attempts: The attempts for the request, in the order in which they were sent.
        finished: Whether the outcome of the request is decided.
        client_half_closed: Whether the client closed its sending side; if so, no further attempt is sent.
        cached: The response from the front's own cache; None if there is none.
        context: The policy's state of the request; not set until the policy handles the request.
        reason: The reason why the request was rejected or failed, for the log.
    """

    request_class: RequestClass
    object_id: int
    part: int
    group: int
    size_kb: float
    received_at: int
    deadline: int
    is_client_retry: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False
    client_half_closed: bool = False
    cached: CachedResponse | None = None
    context: RequestContext = field(init=False, repr=False)
    reason: str = ""

    def may_send_attempt(self, now: int, attempt: Attempt | None = None) -> bool:
        """Return whether `attempt`, or a new one, may be sent at the time `now`.

        If another attempt may have been processed, a repeat is allowed only for an idempotent request, or
        within the deduplication window of a request with an idempotency key.
        """
        earlier = (other for other in self.attempts if other.may_have_run and other is not attempt)
        first = next(earlier, None)
        if first is None or self.request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        return (
            self.request_class.idempotency is Idempotency.IDEMPOTENT_BY_KEY
            and now < first.sent_at + self.request_class.deduplication_window
        )
