"""Encodes and counts responses to clients."""

from __future__ import annotations

from ..protocols.client_protocol import encode_response
from ..runtime.counters import Counters
from ..runtime.units import MILLISECOND_NS
from ..state.decisions import RequestOutcome, Response

STATUS_SERVED = b"ok"
STATUS_REJECTED = b"full"
STATUS_FAILED = b"fault"
STATUS_READY = b"yes"
STATUS_NOT_READY = b"no"
STATUS_OF_OUTCOME = {
    RequestOutcome.SERVED: STATUS_SERVED,
    RequestOutcome.REJECTED: STATUS_REJECTED,
    RequestOutcome.FAILED: STATUS_FAILED,
}


class ResponseEncoder:
    """Encodes responses and counts them.

    Args:
        counters: Counts the responses by status, and the bytes of their bodies.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters

    def encode(self, tag: int, response: Response) -> bytes:
        """Return the encoded response to the request with this tag."""
        fields = b""
        if response.outcome is RequestOutcome.REJECTED and response.retry_after:
            fields = b"pause=%d" % max(1, response.retry_after // MILLISECOND_NS)
        elif response.not_modified:
            fields = b"keep=1"
        self._counters.add("answer.bytes", len(response.body))
        return self.encode_status(tag, STATUS_OF_OUTCOME[response.outcome], fields, response.body)

    def encode_status(self, tag: int, status: bytes, fields: bytes = b"", body: bytes = b"") -> bytes:
        """Return an encoded response with this status, and count it."""
        self._counters.add(f"answer.{status.decode()}")
        return encode_response(tag, status, fields, body)
