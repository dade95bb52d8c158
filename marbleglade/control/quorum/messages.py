"""Messages between replicas, and between an operator and a node. `codec.py` defines their wire format."""

from __future__ import annotations

from dataclasses import dataclass

from .state import Ballot, DurableState, Value, Vote


@dataclass(frozen=True, slots=True)
class StateRequest:
    """A learner's request for the durable state of another replica.

    Attributes:
        store_id: The id of the learner's own store.
    """

    store_id: str


@dataclass(frozen=True, slots=True)
class StateReply:
    """The answer to a `StateRequest`.

    Attributes:
        requester_store_id: The `store_id` of the request.
        state: The durable state of the replying replica.
    """

    requester_store_id: str
    state: DurableState


@dataclass(frozen=True, slots=True)
class Prepare:
    """Phase 1: a candidate requests the promise to accept no value of a lower ballot."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Promise:
    """The reply to `Prepare`: the promise, with the acceptor's last vote."""

    ballot: Ballot
    accepted: Vote


@dataclass(frozen=True, slots=True)
class Reject:
    """The reply to a message with an outdated ballot. `promised` is the higher ballot already promised."""

    ballot: Ballot
    promised: Ballot


@dataclass(frozen=True, slots=True)
class Accept:
    """Phase 2: the leader requests acceptance of a value."""

    ballot: Ballot
    value: Value


@dataclass(frozen=True, slots=True)
class Accepted:
    """The reply to `Accept`: the vote for this ballot and version is durable."""

    ballot: Ballot
    version: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The periodic message of a live leader to its followers."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The reply of a follower, with the newest version that it learned as chosen."""

    ballot: Ballot
    chosen_version: int


@dataclass(frozen=True, slots=True)
class Chosen:
    """A value that a majority accepted, which makes it final."""

    value: Value


Message = (
    StateRequest
    | StateReply
    | Prepare
    | Promise
    | Reject
    | Accept
    | Accepted
    | Heartbeat
    | HeartbeatReply
    | Chosen
)


@dataclass(frozen=True, slots=True)
class ReplicaHello:
    """The first line that a node sends on a connection to another node."""

    deployment: str
    node: str


@dataclass(frozen=True, slots=True)
class ProposalRequest:
    """An operator's proposal of a document. `proposal_id` is random, and the same on each retry."""

    proposal_id: str
    text: str


@dataclass(frozen=True, slots=True)
class ProposalAccepted:
    """The proposal was chosen as this version: a majority of the nodes stored it."""

    version: int


@dataclass(frozen=True, slots=True)
class ProposalConflict:
    """Another proposal was chosen for the same base version; `version` is the newest chosen one."""

    version: int


@dataclass(frozen=True, slots=True)
class ProposalRejected:
    """The node discarded the proposal.

    Attributes:
        leader: The name of the node to send the proposal to; "" if no leader is known.
        reason: Why the node discarded the proposal.
    """

    leader: str
    reason: str


@dataclass(frozen=True, slots=True)
class ProposalOutcomeUnknown:
    """The node can't tell the outcome, e.g. after it lost leadership: the proposal may still be accepted."""


@dataclass(frozen=True, slots=True)
class ProposalInvalid:
    """The proposed document is not valid; `errors` has one line for each error."""

    errors: tuple[str, ...]


ProposalOutcome = ProposalAccepted | ProposalConflict | ProposalRejected | ProposalOutcomeUnknown
