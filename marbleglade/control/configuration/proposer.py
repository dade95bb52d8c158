"""Proposes a configuration document to the control nodes; used by the command line."""

from __future__ import annotations

import secrets
import time
from dataclasses import dataclass

import gevent
from gevent import socket

from ..quorum.codec import MAX_LINE_BYTES, InvalidMessageError, decode, encode
from ..quorum.messages import (
    ProposalAccepted,
    ProposalConflict,
    ProposalInvalid,
    ProposalOutcome,
    ProposalOutcomeUnknown,
    ProposalRejected,
    ProposalRequest,
)
from ..settings import ControlSettings, NodeSettings
from . import document as configuration

ROUND_PAUSE_S = 0.1  # pause after a round over all nodes in which none accepted the proposal
CONNECT_TIMEOUT_S = 1.0
MIN_CONNECT_TIMEOUT_S = 0.01
MIN_RETRY_TIME_S = 0.25  # a node is retried only if more than this remains, and twice the slowest answer
ANSWER_TIMEOUT_S = (
    2.0  # time limit of one node's answer; then the next node gets the proposal with the same id
)
READ_BYTES = 1 << 16
PROPOSAL_ID_BYTES = 8


class NoAnswerError(Exception):
    """A node gave no valid answer to a proposal.

    Attributes:
        maybe_delivered: Whether the node may have received the proposal.
    """

    def __init__(self, reason: str, maybe_delivered: bool) -> None:
        super().__init__(reason)
        self.maybe_delivered = maybe_delivered


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """No node accepted the proposal, and none can do so later. `reasons` has the last reason by node name."""

    reasons: dict[str, str]


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """A node may have accepted the proposal, but its outcome could not be determined."""

    reason: str


ProposalResult = ProposalAccepted | ProposalConflict | ProposalInvalid | NotAccepted | OutcomeUnknown


class Proposer:
    """Sends one proposal to the nodes in turn until its outcome is known or no time for an answer is left.

    Args:
        settings: The settings of the control plane.
        text: The text of the document.
        timeout: The time limit of the proposal, in seconds.

    Attributes:
        unknown_reason: Why a node may have accepted the proposal without reporting it; "" if none can have.
        reasons: The last rejection by each node, or the last error of the connection to it, by node name.
        longest_answer_s: The longest time that a node took to answer, in seconds.
    """

    def __init__(self, settings: ControlSettings, text: str, timeout: float) -> None:
        self.settings = settings
        self.text = text
        self.deadline = time.monotonic() + timeout
        self.request = ProposalRequest(secrets.token_hex(PROPOSAL_ID_BYTES), text)
        self.unknown_reason = ""
        self.reasons: dict[str, str] = {}
        self.longest_answer_s = 0.0
        self.base_version = 0

    def run(self) -> ProposalResult:
        """Propose the document, and return the result within the timeout."""
        try:
            self.base_version = configuration.read(self.text, self.settings).base_version
        except configuration.InvalidDocumentError as error:
            return ProposalInvalid(tuple(error.errors))
        while any(map(self._has_time_for, self.settings.nodes)):
            for node in self.settings.nodes:
                result = self._propose_to(node)
                if result:
                    return result
            gevent.sleep(max(0.0, min(ROUND_PAUSE_S, self._remaining_s())))
        return OutcomeUnknown(self.unknown_reason) if self.unknown_reason else NotAccepted(self.reasons)

    def _remaining_s(self) -> float:
        return self.deadline - time.monotonic()

    def _has_time_for(self, node: NodeSettings) -> bool:
        """Return whether enough time is left to send the proposal to a node.

        A first attempt at a node needs any time at all, a retry the time in which to expect an answer. A
        retry that the deadline ends would only make the outcome unknown, as the node may have received the
        proposal.
        """
        is_retry = node.name in self.reasons
        needed_s = max(MIN_RETRY_TIME_S, 2 * self.longest_answer_s) if is_retry else 0.0
        return self._remaining_s() > needed_s

    def _propose_to(self, node: NodeSettings, redirected: bool = False) -> ProposalResult | None:
        """Send the proposal to a node, and after a rejection to the leader named in it; None if undecided."""
        if not self._has_time_for(node):
            return None
        started_at = time.monotonic()
        try:
            outcome = self._request_outcome(node)
        except NoAnswerError as error:
            self.reasons[node.name] = str(error)
            if error.maybe_delivered:
                self.unknown_reason = f"{node.name}: {error}"
            return None
        self.longest_answer_s = max(self.longest_answer_s, time.monotonic() - started_at)
        if isinstance(outcome, ProposalRejected):
            self.reasons[node.name] = outcome.reason
            leader = self.settings.node(outcome.leader)
            return self._propose_to(leader, redirected=True) if leader and not redirected else None
        if isinstance(outcome, ProposalOutcomeUnknown):
            self.unknown_reason = f"{node.name}: the node lost the majority before the proposal was decided"
            return None
        return self._result_of(outcome)

    def _result_of(self, outcome: ProposalAccepted | ProposalConflict | ProposalInvalid) -> ProposalResult:
        """Return the result of the whole proposal for the outcome that one node reported.

        A conflict that reports a version above `base_version` + 1 does not tell which proposal became
        `base_version` + 1. It may be this one, if an earlier attempt may have been accepted.
        """
        if not isinstance(outcome, ProposalConflict):
            return outcome
        if self.unknown_reason and outcome.version > self.base_version + 1:
            return OutcomeUnknown(f"{self.unknown_reason}; version {outcome.version} is now in force")
        return outcome

    def _request_outcome(self, node: NodeSettings) -> ProposalOutcome | ProposalInvalid:
        """Send the proposal to one node, and return its answer.

        Raises:
            NoAnswerError: The node can't be reached, or its answer is missing or not valid.
        """
        connected = False
        try:
            timeout_s = min(CONNECT_TIMEOUT_S, max(MIN_CONNECT_TIMEOUT_S, self._remaining_s()))
            with socket.create_connection(node.quorum_address, timeout_s) as sock:
                connected = True
                sock.sendall(encode(self.request))
                answer = self._read_answer(sock)
        except (OSError, InvalidMessageError) as error:
            raise NoAnswerError(str(error) or type(error).__name__, connected) from error
        if not isinstance(answer, ProposalOutcome | ProposalInvalid):
            raise NoAnswerError("the answer is not an outcome of a proposal", connected)
        return answer

    def _read_answer(self, sock: socket.socket) -> object:
        buffer = bytearray()
        deadline = min(self.deadline, time.monotonic() + ANSWER_TIMEOUT_S)
        while not buffer.endswith(b"\n"):
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                raise TimeoutError("no complete answer in time")
            sock.settimeout(remaining_s)
            data = sock.recv(READ_BYTES)
            if not data:
                raise ConnectionError("the node closed the connection before a complete answer")
            buffer += data
            if len(buffer) > MAX_LINE_BYTES:
                raise InvalidMessageError(f"the answer is longer than {MAX_LINE_BYTES} bytes")
        return decode(buffer)
