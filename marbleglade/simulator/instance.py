"""One simulated instance: a policy whose host calls are sent to the simulator as messages."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from ..model.attempt import Attempt, ResponseSource
from ..model.max_age import DEFAULT_MAX_AGE
from ..model.policy_action import PolicyAction
from ..model.request import Request
from ..model.upstream import Upstream
from ..policy.policy import Policy
from ..settings.environment import Environment
from ..settings.load_reports import record_load_report
from ..settings.vocabulary import STATE_BY_SETTING
from .messages import (
    CLIENT_RETRY_BIT,
    JOIN_FILL_BIT,
    ONLY_IF_CACHED_BIT,
    RECORD_BY_ACTION,
    REFRESH_BIT,
    RESULT_BY_STATUS,
    MalformedMessageError,
    decode_integer,
    decode_number,
    decode_report_values,
    decode_time,
    encode_time,
)

PolicyCall = Callable[[], None]
MIN_ENTRY_FIELDS = 7


def do_nothing() -> None:
    """Do nothing, as the call for a message that does not concern the policy."""


class SimulatedInstance:
    """One instance of the policy: implements its host and decodes its events.

    Each method `on_...` decodes one event of the protocol, named at the start of its description, and returns
    the policy call that the event requests. Its parameters are fields of the message.

    Attributes:
        lines: Messages to send, oldest first.
        requests: Open requests by their id in the protocol.
        ids: Ids of the open requests in the protocol.
        in_flight: Number of attempts in flight, by request id.
        upstreams: Upstreams by name.

    Args:
        clock: A list of one item, the time of the batch, ns.
        environment: The settings of the instance.
    """

    def __init__(self, clock: list[int], environment: Environment) -> None:
        self.clock = clock
        self.lines: list[str] = []
        self.requests: dict[str, Request] = {}
        self.ids: dict[Request, str] = {}
        self.in_flight: dict[str, int] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.environment = environment
        self.policy = Policy(environment.parameters, self)

    # Calls of the policy to its host, see `model.policy_protocol.PolicyHost`.

    def now(self) -> int:
        """Return the time of the batch, ns."""
        return self.clock[0]

    def handling_delay(self) -> int:
        """Return 0, because simulated instances handle every event immediately."""
        return 0

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
        cache_locally: bool = False,  # ignored: simulated instances have no local cache
    ) -> Attempt:
        """Send an attempt to the upstream."""
        attempt = Attempt(request, upstream, fill_source, self.now(), timeout, cache_priority)
        request_id = self.ids[request]
        request.attempts.append(attempt)
        self.in_flight[request_id] += 1
        options = JOIN_FILL_BIT * join_fill + ONLY_IF_CACHED_BIT * only_if_cached + REFRESH_BIT * refresh
        self.lines.append(
            f"ANSWER_FROM {request_id} {upstream.name.decode()} {encode_time(timeout)} "
            f"{fill_source.name.decode()} {cache_priority} {encode_time(max_age) if max_age else 0} {options}"
        )
        return attempt

    def serve_cached(self, request: Request) -> None:
        """Raise `MalformedMessageError`, because simulated instances have no local cache."""
        raise MalformedMessageError("a simulated instance has no local cache to serve a request from")

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt in flight."""
        request = attempt.request
        self.lines.append(f"ABANDON {self.ids[request]} {request.attempts.index(attempt)}")

    def reject(self, request: Request, retry_after: int = 0) -> None:
        """Reject a request."""
        self.lines.append(f"BOUNCE {self.ids[request]} {encode_time(retry_after)}")
        self._finish(request)

    def fail(self, request: Request) -> None:
        """Answer a request as failed."""
        self.lines.append(f"END_FAILED {self.ids[request]}")
        self._finish(request)

    def schedule_wakeup(self, after: int) -> None:
        """Request an ELAPSED message from the simulator after that many nanoseconds."""
        self.lines.append(f"ARM {encode_time(after)} 1")

    def poll_endpoints(self) -> None:
        """Request the endpoint list."""
        self.lines.append("WATCH 1")

    def probe_load(self, upstream: Upstream) -> None:
        """Request the load report of an upstream."""
        self.lines.append(f"HEALTH_CHECK {upstream.name.decode()}")

    def record_action(self, action: PolicyAction) -> None:
        """Send an action of the policy to the simulator, which records it."""
        upstream = action.upstream
        self.lines.append(
            f"RECORD {RECORD_BY_ACTION[action.kind]} {upstream.role.name.lower()} {upstream.name.decode()}"
        )

    # Events.

    def on_endpoints(self, form: str, entries: list[list[str]] | None) -> PolicyCall:
        """ENDPOINTS: the endpoint list, a change of the list, or the failure to fetch it."""
        if form == "error":
            return self.policy.endpoints_unavailable
        listed = [self._list_upstream(fields) for fields in entries or ()]
        return partial(self.policy.update_endpoints, listed, form != "diff")

    def _list_upstream(self, fields: list[str]) -> Upstream:
        name, kind, started, _, zone, state, cell = fields[:MIN_ENTRY_FIELDS]
        upstream = self.upstreams.get(name)
        if upstream is None:
            upstream = Upstream(name.encode())
            self.upstreams[name] = upstream
        upstream.role = self.environment.role(decode_integer(kind))
        upstream.started_at = decode_time(started)
        upstream.zone = decode_integer(zone)
        upstream.state = STATE_BY_SETTING[state]
        upstream.cell = decode_integer(cell)
        return upstream

    def on_accept(
        self,
        request_id: str,
        request_class: str,
        _key: str,
        object_id: str,
        time_left: str,
        size: str,
        group: str,
        part: str,
        options: str,
    ) -> PolicyCall:
        """ACCEPT: a new request."""
        now = self.now()
        flags = decode_integer(options)
        request = Request(
            self.policy.parameters.request_classes[decode_integer(request_class)],
            decode_integer(object_id),
            decode_integer(part),
            decode_integer(group),
            decode_number(size),
            now,
            now + decode_time(time_left),
            bool(flags & CLIENT_RETRY_BIT),
        )
        self.requests[request_id] = request
        self.ids[request] = request_id
        self.in_flight[request_id] = 0
        return partial(self.policy.handle_request, request)

    def on_client_disconnected(self, request_id: str) -> PolicyCall:
        """CLIENT_GONE: the client has disconnected."""
        request = self.requests.get(request_id)
        if not request or request.finished:
            return do_nothing
        return partial(self._disconnect, request)

    def _disconnect(self, request: Request) -> None:
        self.policy.client_disconnected(request)
        self._finish(request)

    def on_established(self, request_id: str, attempt_index: str, _upstream: str, latency: str) -> PolicyCall:
        """ESTABLISHED: the first bytes of a response have arrived."""
        decode_time(latency)  # raises ValueError if it is not a number; not used otherwise
        attempt = self._attempt(request_id, int(attempt_index))
        return partial(self.policy.response_started, attempt) if attempt else do_nothing

    def on_attempt_end(
        self,
        request_id: str,
        attempt_index: str,
        latency: str,
        request_over: str,
        source: str,
        queueing_time: str,
        status: str,
        upstream: str,
        values: str,
    ) -> PolicyCall:
        """ATTEMPT_END: the result of an attempt, with a load report from its upstream."""
        result = RESULT_BY_STATUS[int(status)]
        index = int(attempt_index)
        self.store_report(upstream, decode_report_values(values))
        response_source = ResponseSource(decode_integer(source))
        latency_ns, queueing_ns = decode_time(latency), decode_time(queueing_time)
        attempt = self._attempt(request_id, index)
        if attempt is None or attempt.result is not None:
            return do_nothing
        attempt.result = result
        attempt.latency = latency_ns
        attempt.response_source = response_source
        attempt.queueing_time = queueing_ns
        self.in_flight[request_id] -= 1
        request = attempt.request
        request.finished = request.finished or request_over == "1"
        return partial(self._end_attempt, request_id, attempt)

    def _end_attempt(self, request_id: str, attempt: Attempt) -> None:
        self.policy.attempt_finished(attempt)
        if attempt.request.finished and request_id in self.in_flight and not self.in_flight[request_id]:
            self._forget(attempt.request, request_id)

    def store_report(self, name: str, values: dict[str, float]) -> None:
        """Store the load report of an upstream; ignore it if the upstream is unknown."""
        upstream = self.upstreams.get(name)
        if upstream:
            record_load_report(upstream, values, self.now())

    def _attempt(self, request_id: str, index: int) -> Attempt | None:
        """Return an attempt; None if a late message refers to a request that has been removed."""
        request = self.requests.get(request_id)
        if not request or index >= len(request.attempts):
            return None
        return request.attempts[index]

    def _finish(self, request: Request) -> None:
        request.finished = True
        request_id = self.ids[request]
        if not self.in_flight[request_id]:
            self._forget(request, request_id)

    def _forget(self, request: Request, request_id: str) -> None:
        del self.requests[request_id]
        del self.ids[request]
        del self.in_flight[request_id]
