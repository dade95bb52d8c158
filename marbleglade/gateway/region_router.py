"""Routes a request to the local region, to a remote region, or to several regions one after the other."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from ..model.max_age import stricter_max_age
from ..model.request import RequestClass
from ..protocols.client_protocol import ClientRequest
from ..request_handler import RequestHandler
from ..runtime import clock
from ..runtime.units import MILLISECOND_NS
from ..state.decisions import RequestOutcome, Response
from ..state.purge_history import UNKNOWN_GROUP
from .remote_region import RemoteRegion
from .routed_request import RegionAttempt, RoutedRequest
from .routes import Routes

MIN_MAX_AGE_NS = MILLISECOND_NS  # the least `max_age_ns` set by a purge, since 0 is `DEFAULT_MAX_AGE`


class RegionRouter:
    """Serves requests from the listeners, as a front's `RequestHandler` does, and selects their regions.

    A request runs in one region at a time. It is sent to the next region only if the previous one does not
    have the object and cannot have run the request, the deadline has not passed, and the client has not
    closed its sending side.

    Args:
        local_region: The name of this region.
        local_handler: The request handler of this region.
        remote_regions: The request handlers of the other regions, by region name.
        routes: Determines the order of the regions for each request.

    Attributes:
        handlers: The request handlers of all regions, by region name.
    """

    def __init__(
        self,
        local_region: str,
        local_handler: RequestHandler,
        remote_regions: dict[str, RemoteRegion],
        routes: Routes,
    ) -> None:
        self.local_handler = local_handler
        self.remote_regions = remote_regions
        self.routes = routes
        self.guard = local_handler.guard
        self.counters = local_handler.counters
        self.handlers: dict[str, RequestHandler] = {local_region: local_handler, **remote_regions}
        self.request_classes: dict[str, RequestClass] = local_handler.request_classes
        self.clock_resolution = local_handler.clock_resolution

    def __len__(self) -> int:
        """Return the number of open requests."""
        return sum(len(handler.driver.open_requests) for handler in self.handlers.values())

    def over_capacity(self) -> bool:
        """Return whether any region's handler is over capacity; each handler that is over counts this."""
        over_capacity = [handler.over_capacity() for handler in self.handlers.values()]
        return any(over_capacity)

    def admit(self, client_request: ClientRequest) -> RoutedRequest:
        """Select the regions of a request, admit it to the first region's handler and return it."""
        now = clock.now()
        regions = self.routes.regions_for(
            int(client_request.object_id, 16), client_request.group, client_request.via_regions, now
        )
        deadline = (client_request.received_at or now) + client_request.timeout_ns
        routed = RoutedRequest(deadline, regions)
        if regions:
            self._enter_next_region(client_request, routed)
        return routed

    def _enter_next_region(self, client_request: ClientRequest, routed: RoutedRequest) -> RegionAttempt:
        """Admit a request to the handler of its next region and return the attempt there."""
        region = routed.remaining_regions.pop(0)
        handler = self.handlers[region]
        max_age = client_request.max_age_ns
        if client_request.group == UNKNOWN_GROUP:
            max_age = _max_age_of_any_group(max_age, handler)
        if max_age != client_request.max_age_ns:
            client_request = replace(client_request, max_age_ns=max_age)
        request = handler.admit(client_request)
        request.deadline = min(request.deadline, routed.deadline)
        attempt = RegionAttempt(region, handler, client_request, request)
        routed.current = attempt
        return attempt

    def answer_immediately(
        self,
        client_request: ClientRequest,  # noqa: ARG002 -- part of the interface that the listeners use
        routed: RoutedRequest,
    ) -> Response | None:
        """Return the response if the policy decides immediately; otherwise the caller must call `run`."""
        attempt = routed.current
        if attempt is None:
            self.counters.add("request.routing_loop")
            return Response(RequestOutcome.REJECTED, object_missing=True)
        return attempt.handler.answer_immediately(attempt.client_request, attempt.request)

    def run(
        self,
        client_request: ClientRequest,
        routed: RoutedRequest,
        respond: Callable[[Response], None],
    ) -> None:
        """Run an admitted request in one region after another until it has ended.

        Args:
            client_request: The request as the client sent it.
            routed: The routing state that `admit` returned for the request.
            respond: Sends the response; called at most once, and never after the client has left.
        """
        attempt = routed.current
        while attempt:
            attempt = self._run_in_region(client_request, routed, attempt, respond)

    def _run_in_region(
        self,
        client_request: ClientRequest,
        routed: RoutedRequest,
        attempt: RegionAttempt,
        respond: Callable[[Response], None],
    ) -> RegionAttempt | None:
        """Run a request in one region; return its attempt in the next region, or None if it has ended."""
        try_next_region = False

        def handle_response(response: Response) -> None:
            nonlocal try_next_region
            try_next_region = self._may_try_next_region(routed, attempt, response)
            if not try_next_region:
                respond(response)

        attempt.handler.run(attempt.client_request, attempt.request, handle_response)
        if not try_next_region or routed.finished:
            return None
        self.counters.add("request.forwarded")
        attempt = self._enter_next_region(client_request, routed)
        response = attempt.handler.answer_immediately(attempt.client_request, attempt.request)
        if response:
            handle_response(response)
        return attempt  # if it was answered above, the handler's `run` only ends it and sends no response

    def _may_try_next_region(self, routed: RoutedRequest, attempt: RegionAttempt, response: Response) -> bool:
        """Record from a response whether the region has the object; return whether to try the next region."""
        object_id = attempt.request.object_id
        if response.outcome is RequestOutcome.SERVED:
            self.routes.record_location(object_id, attempt.region, clock.now())
            return False
        if not response.object_missing:
            return False
        self.routes.record_missing(object_id, attempt.region)
        return (
            bool(routed.remaining_regions)
            and clock.now() < routed.deadline
            and not response.may_have_run
            and not routed.client_half_closed
        )

    def client_half_closed(self, routed: RoutedRequest) -> None:
        """Try no further region: the client has closed its sending side and has most likely left."""
        routed.client_half_closed = True
        if routed.current:
            routed.current.handler.client_half_closed(routed.current.request)

    def abandon_request(self, routed: RoutedRequest) -> None:
        """Remove a request that was answered as failed because an error prevented it from running."""
        routed.finished = True
        if routed.current:
            routed.current.handler.abandon_request(routed.current.request)

    def client_disconnected(self, routed: RoutedRequest) -> None:
        """Cancel a request whose client has left."""
        routed.finished = True
        if routed.current:
            routed.current.handler.client_disconnected(routed.current.request)


def _max_age_of_any_group(max_age: int, handler: RequestHandler) -> int:
    """Return the `max_age` of a request with an unknown group, to which a purge of any group may apply.

    Args:
        max_age: The greatest age of a cached response, ns; 0 is `DEFAULT_MAX_AGE`.
        handler: The request handler whose purge history is used.
    """
    purged_at = handler.purge_history.latest_of_any_group()
    if not purged_at:
        return max_age
    since_purge = max(MIN_MAX_AGE_NS, clock.now() - purged_at)
    return stricter_max_age(since_purge, max_age)
