"""The recorded events of a random script, and the rules that they must not violate.

Times are in monotonic seconds. A record is a list of events in the order in which they were recorded.
"""

from __future__ import annotations

from dataclasses import dataclass, field

SLACK_SECONDS = 0.3  # operators' limit for attempts after a client has left, or after a drain, with its grace
RESPONSE_GRACE_SECONDS = 0.5  # after the timeout of a request; a later response counts as lost
NON_IDEMPOTENT = "step"  # the request class whose requests may have at most one effect


@dataclass(frozen=True, slots=True)
class RequestSent:
    """A client has sent a request."""

    at: float
    client: int
    tag: int
    request_id: str
    timeout: float
    class_name: str
    object_id: str


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client of a request has cancelled it or closed its connection."""

    at: float
    request_id: str


@dataclass(frozen=True, slots=True)
class DrainAnnounced:
    """Discovery services have announced that a cache drains or, with `returned`, that it is back."""

    at: float
    cache: str
    returned: bool = False


@dataclass(frozen=True, slots=True)
class PurgeAnnounced:
    """Discovery services have announced a purge of all objects."""

    at: float
    unix_ms: int


@dataclass(frozen=True, slots=True)
class AttemptReceived:
    """A cache has received an attempt."""

    at: float
    cache: str
    request_id: str


@dataclass(frozen=True, slots=True)
class AttemptRejected:
    """A cache has rejected an attempt or did not have the object, so the attempt had no effect."""

    at: float
    cache: str
    request_id: str


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """A client has received a response."""

    at: float
    client: int
    tag: int
    status: str
    body: bytes


@dataclass(frozen=True, slots=True)
class MalformedResponse:
    """A client has received bytes that are not a valid response."""

    at: float
    client: int


Event = (
    RequestSent
    | ClientLeft
    | DrainAnnounced
    | PurgeAnnounced
    | AttemptReceived
    | AttemptRejected
    | ResponseReceived
    | MalformedResponse
)


def object_body(object_id: str, issued_ms: object) -> bytes:
    """The body of a cache's response: the object id, repeated, and the time at which it was issued."""
    return f"{object_id * 40} {issued_ms}".encode()


@dataclass
class ScriptChecker:
    """Finds violations of the rules for a front; `check` returns one line for each violation."""

    requests: dict[tuple[int, int], RequestSent] = field(default_factory=dict)  # by client and tag
    requests_by_id: dict[str, RequestSent] = field(default_factory=dict)
    responses: dict[tuple[int, int], list[ResponseReceived]] = field(default_factory=dict)
    left_at: dict[str, float] = field(default_factory=dict)  # by request id
    draining_since: dict[str, float] = field(default_factory=dict)  # by cache
    effects: dict[str, list[float]] = field(default_factory=dict)  # times of possible effects, by request id
    purges: list[PurgeAnnounced] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def check(self, record: list[Event]) -> list[str]:
        """Checks a record, and returns the violations."""
        for event in record:
            self._process_event(event)
        for key, responses in self.responses.items():
            self._check_responses(key, responses)
        for key, request in self.requests.items():
            if key not in self.responses and request.request_id not in self.left_at:
                self.violations.append("no response")
        return self.violations

    def _process_event(self, event: Event) -> None:
        match event:
            case RequestSent():
                self.requests[event.client, event.tag] = self.requests_by_id[event.request_id] = event
            case ClientLeft():
                self.left_at[event.request_id] = event.at
            case DrainAnnounced(returned=True):
                self.draining_since.pop(event.cache, None)
            case DrainAnnounced():
                self.draining_since[event.cache] = event.at
            case PurgeAnnounced():
                self.purges.append(event)
            case ResponseReceived():
                self.responses.setdefault((event.client, event.tag), []).append(event)
            case MalformedResponse():
                self.violations.append("an invalid response")
            case AttemptRejected():
                self.effects.get(event.request_id, [0.0]).pop()
            case AttemptReceived():
                self._check_attempt(event)

    def _check_attempt(self, attempt: AttemptReceived) -> None:
        if attempt.request_id not in self.requests_by_id:
            self.violations.append("an attempt for an unknown request")
            return
        after_departure = attempt.at - self.left_at.get(attempt.request_id, attempt.at)
        if after_departure > SLACK_SECONDS:
            self.violations.append(f"an attempt {after_departure:.2f} s after its client left")
        after_drain = attempt.at - self.draining_since.get(attempt.cache, attempt.at)
        if after_drain > SLACK_SECONDS:
            self.violations.append(f"an attempt {after_drain:.2f} s after the drain of its cache")
        earlier = self.effects.setdefault(attempt.request_id, [])
        if earlier and self.requests_by_id[attempt.request_id].class_name == NON_IDEMPOTENT:
            self.violations.append("a second effect")
        earlier.append(attempt.at)

    def _check_responses(self, key: tuple[int, int], responses: list[ResponseReceived]) -> None:
        request = self.requests.get(key)
        if request is None:
            self.violations.append("a response to an unknown request")
            return
        if len(responses) > 1:
            self.violations.append("a second response")
        first = responses[0]
        left_at = self.left_at.get(request.request_id, first.at)
        if first.at > min(left_at + SLACK_SECONDS, request.at + request.timeout + RESPONSE_GRACE_SECONDS):
            self.violations.append(f"a response after {first.at - request.at:.2f} s")
        self._check_content(request, first)

    def _check_content(self, request: RequestSent, response: ResponseReceived) -> None:
        _, _, issued = response.body.decode("latin-1").partition(" ")
        expected = object_body(request.object_id, issued) if response.status == "ok" else b""
        if response.status not in ("ok", "full", "fault") or response.body != expected:
            self.violations.append("a response that no cache sent")
        elif response.status == "ok" and self._is_purged(request, int(issued)):
            self.violations.append("a response issued before a purge")
        may_have_run = self.effects.get(request.request_id)
        if response.status == "full" and request.class_name == NON_IDEMPOTENT and may_have_run:
            self.violations.append("a rejection of a request that may have run")

    def _is_purged(self, request: RequestSent, issued_ms: int) -> bool:
        """Whether a purge announced early enough before the request covers an object issued then."""
        return any(
            purge.at + SLACK_SECONDS < request.at and issued_ms < purge.unix_ms for purge in self.purges
        )
