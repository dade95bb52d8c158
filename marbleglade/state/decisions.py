"""The policy's decisions on a request (attempts to send, final outcome), and the resulting response."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from gevent.event import AsyncResult

from ..model.attempt import Attempt


class RequestOutcome(Enum):
    """How a request ended."""

    SERVED = 0
    REJECTED = 1
    FAILED = 2
    CANCELLED = 3  # the client has disconnected: no response is sent


class Decision(NamedTuple):
    """The policy's final decision on a request.

    Attributes:
        outcome: The outcome of the request.
        retry_after: Retry-After of a rejected request, ns; 0 for none.
        from_local_cache: Whether the response comes from the front's own cache.
    """

    outcome: RequestOutcome
    retry_after: int = 0
    from_local_cache: bool = False


@dataclass(slots=True, eq=False)
class AttemptOrder:
    """The policy's order to send an attempt; see `PolicyHost.start_attempt` for the options.

    Attributes:
        attempt: The attempt to send.
        max_age: Greatest age of a cached response, ns; 0 is `DEFAULT_MAX_AGE`.
        join_fill: Whether to wait for a fill in progress rather than start another one.
        refresh: Whether the upstream has to fetch the object even if it is cached there.
        only_if_cached: Whether the upstream has to respond with a miss rather than fetch the object.
        cache_locally: Whether to store the response in the front's own cache.
        result: The sender sets it to the result; the driver sets it to None to cancel the attempt.
        written: Whether the attempt may have reached the upstream; the sender clears it if it has not.
    """

    attempt: Attempt
    max_age: int
    join_fill: bool
    refresh: bool
    only_if_cached: bool
    cache_locally: bool
    result: AsyncResult
    written: bool = True

    def cancel(self) -> None:
        """Cancel the attempt unless it has already ended."""
        if not self.result.ready():
            self.result.set(None)


@dataclass(slots=True)
class Response:
    """The response to a client.

    Attributes:
        outcome: The outcome of the request.
        retry_after: Retry-After of a rejected request, ns; 0 for none.
        not_modified: Whether the client's own copy is current; if so, there is no body.
        body: The requested part of the object.
        entity_tag: The entity tag of this version of the object.
        issued_ms: Time at which the origin issued the response, Unix milliseconds.
        object_missing: For a rejected request: whether the origin last responded that the object is missing.
        may_have_run: For a request that is not served: whether an upstream may have processed it.
    """

    outcome: RequestOutcome
    retry_after: int = 0
    not_modified: bool = False
    body: bytes = b""
    entity_tag: str = ""
    issued_ms: int = 0
    object_missing: bool = False
    may_have_run: bool = False
