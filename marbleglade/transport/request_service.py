"""The interface between client connections and the handler of their requests.

It is implemented by a front's `RequestHandler` and a gateway's `RegionRouter`. Both belong to higher layers,
so this package depends on these protocols only.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol, TypeVar

from ..model.request import RequestClass
from ..protocols.client_protocol import ClientRequest
from ..state.decisions import Response


class AdmittedRequest(Protocol):
    """The handler's own representation of a request."""

    @property
    def deadline(self) -> int:
        """The time until which the client waits, ns of the monotonic clock."""


RequestT = TypeVar("RequestT", bound=AdmittedRequest)


class RequestService(Protocol[RequestT]):
    """Handles the requests of clients, independent of their connections."""

    @property
    def request_classes(self) -> Mapping[str, RequestClass]:
        """The request classes by name."""

    @property
    def clock_resolution(self) -> int:
        """The granularity of timers, ns."""

    def over_capacity(self) -> bool:
        """Return whether a request has to be rejected for lack of capacity; if so, count the rejection."""

    def admit(self, client_request: ClientRequest, /) -> RequestT:
        """Return the handler's representation of a client's request."""

    def answer_immediately(self, client_request: ClientRequest, request: RequestT, /) -> Response | None:
        """Submit an admitted request and return its response if it is decided at once.

        If it returns None, the caller has to call `run`.
        """

    def run(
        self, client_request: ClientRequest, request: RequestT, respond: Callable[[Response], None], /
    ) -> None:
        """Run a submitted request to its end, and call `respond` at most once; blocks."""

    def client_half_closed(self, request: RequestT, /) -> None:
        """Stop further attempts for a request whose client closed its side, and so has most likely left."""

    def client_disconnected(self, request: RequestT, /) -> None:
        """End a request whose client has cancelled it or disconnected."""

    def abandon_request(self, request: RequestT, /) -> None:
        """Drop the state of a request that was answered as failed because of an exception."""
