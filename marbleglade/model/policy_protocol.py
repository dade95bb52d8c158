"""The interface between a policy and its host: the policy's actions, and the events it handles."""

from __future__ import annotations

from typing import Protocol

from .attempt import Attempt
from .fleet_view import FleetView, LoadObservations
from .max_age import DEFAULT_MAX_AGE
from .parameters import Parameters
from .policy_action import PolicyAction
from .request import Request
from .upstream import Upstream


class PolicyHost(Protocol):
    """The front as seen by its policy. None of these methods blocks or calls the policy."""

    def now(self) -> int:
        """Return the time, ns. It does not change during a call of the policy."""

    def handling_delay(self) -> int:
        """Return the recent mean delay between the arrival of an event and its handling, ns."""

    def start_attempt(
        self,
        request: Request,
        upstream: Upstream,
        fill_source: Upstream,
        timeout: int,
        cache_priority: int = 0,
        max_age: int = DEFAULT_MAX_AGE,
        join_fill: bool = False,
        refresh: bool = False,
        only_if_cached: bool = False,
        cache_locally: bool = False,
    ) -> Attempt:
        """Send an attempt.

        Args:
            request: The request to send.
            upstream: The upstream to send it to.
            fill_source: The source to fill a miss from; `upstream` itself for no fill.
            timeout: The longest time that the attempt may take, ns.
            cache_priority: Priority of the object in the upstream's cache; the highest is evicted last.
            max_age: Greatest age of a cached response, ns; 0 is `DEFAULT_MAX_AGE`.
            join_fill: Whether to wait for a fill in progress rather than start another one.
            refresh: Whether the upstream has to fetch the object even if it is cached there.
            only_if_cached: Whether the upstream has to respond with a miss rather than fetch the object.
            cache_locally: Whether to store the response in the front's own cache.
        """

    def serve_cached(self, request: Request) -> None:
        """Respond with the cached response from the front's own cache."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt in flight. Its result is still reported to the policy."""

    def reject(self, request: Request, retry_after: int = 0) -> None:
        """Respond that the request is rejected, with a Retry-After in ns (0 for none)."""

    def fail(self, request: Request) -> None:
        """Respond that the request failed."""

    def schedule_wakeup(self, after: int) -> None:
        """Schedule a call of `on_timer` in `after` nanoseconds."""

    def poll_endpoints(self) -> None:
        """Fetch the endpoint list."""

    def probe_load(self, upstream: Upstream) -> None:
        """Send a health check to an upstream; the response contains a load report."""

    def record_action(self, action: PolicyAction) -> None:
        """Write an action of the policy to the log."""


class PolicyProtocol(Protocol):
    """The events that a front reports to its policy, one at a time and in order.

    Attributes:
        parameters: The parameters of the policy; its host reads them, too.
    """

    parameters: Parameters

    def update_endpoints(self, upstreams: list[Upstream], complete: bool) -> None:
        """Apply changes of upstreams; if `complete`, there are no others."""

    def endpoints_unavailable(self) -> None:
        """Handle a failure to fetch the endpoint list."""

    def handle_request(self, request: Request) -> None:
        """Handle a new request: send an attempt, serve it from the local cache, or reject it."""

    def client_disconnected(self, request: Request) -> None:
        """Stop all work for a request whose client has disconnected."""

    def response_started(self, attempt: Attempt) -> None:
        """Record that the first bytes of a response have arrived."""

    def attempt_finished(self, attempt: Attempt) -> None:
        """Record the result of a finished attempt, and retry or end its request if necessary."""

    def on_timer(self) -> None:
        """Handle all timers that have expired."""

    def handle_purge(self, object_id: int, group: int, purged_at: int) -> None:
        """Apply a purge of an object or, if `object_id` is 0, of a group."""

    def limit_cache_age(self, max_age: int) -> None:
        """Limit the age of every cached response from now on, including those in the front's own cache.

        Used while this front may miss purges. A stricter limit of a request stays in force.

        Args:
            max_age: Greatest age of a cached response, ns. `DEFAULT_MAX_AGE` (0), the initial value, removes
                the limit. Any other value below 1,000 counts as 1,000.
        """

    def give_up(self, request: Request, reason: str = "") -> None:
        """Reject or fail a request for which no further attempt may be sent."""

    def apply_fleet_view(self, view: FleetView) -> None:
        """Apply the aggregated observations of all fronts."""

    def observations(self) -> LoadObservations:
        """Return the observations of this policy since its start."""

    def preferred_upstreams(self, count: int) -> list[list[Upstream]]:
        """Return the caches in order of preference for each of the `count` most requested objects."""
