"""The interfaces of the policy's stages."""

from __future__ import annotations

from typing import Protocol

from ...model.attempt import Attempt
from ...model.request import Request


class RequestStage(Protocol):
    """A stage that handles requests."""

    def handle_request(self, request: Request) -> None:
        """Send an attempt, end the request, or pass it on to the next stage."""


class ResultStage(Protocol):
    """A stage that handles the results of attempts."""

    def handle_result(self, attempt: Attempt) -> bool:
        """Process a result.

        Returns:
            True to pass the result on to the next stage; False to stop here. If the retry stage returns True,
            the admission stage rejects or fails the request.
        """
