"""Runs a replica: passes messages, proposals and the time to it, and executes the effects that it returns.

One greenlet owns the replica. It executes effects in order, so that no message is sent before the state that
it depends on is durable.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult
from gevent.queue import Empty, Full, Queue

from ...runtime import clock
from ...runtime.error_guard import ErrorGuard
from ...runtime.units import MILLISECOND_NS, SECOND_NS
from .codec import encode
from .effects import Effect, Persist, Publish, Resolve, Send
from .messages import Message, ProposalOutcome, ProposalOutcomeUnknown, ProposalRejected
from .peer_connection import PeerConnection
from .replica import Replica
from .state import DurableState, Value
from .store import LostStateError, Store, StoreError

HEARTBEAT_INTERVAL_NS = 200 * MILLISECOND_NS
TICKS_PER_HEARTBEAT = 4
TICK_INTERVAL_S = HEARTBEAT_INTERVAL_NS / TICKS_PER_HEARTBEAT / SECOND_NS
STORE_RETRY_PAUSE_S = 0.2
MAX_STORE_FAILURE_NS = 300 * SECOND_NS  # a write that fails for longer stops this node's replica
MAX_INPUTS = 1024  # queued messages and proposals
PROPOSAL_TIMEOUT_S = 30.0
OVERLOADED = "the node has too much to do"


@dataclass(slots=True)
class ReceivedMessage:
    """A message from another replica."""

    sender: str
    message: Message


@dataclass(slots=True)
class SubmittedProposal:
    """An operator's proposal, and the future that receives its outcome."""

    base_version: int
    proposal_id: str
    text: str
    outcome: AsyncResult


class ReplicaDriver:
    """Runs one replica, with a queue of messages and proposals for it.

    Args:
        replica: The replica, created with the state of `store`.
        store: Makes the replica's state durable.
        peers: The outgoing connections to all other nodes, by node name.
        publish: Called with each newly chosen value.
        guard: Counts and logs exceptions.
    """

    def __init__(
        self,
        replica: Replica,
        store: Store,
        peers: Mapping[str, PeerConnection],
        publish: Callable[[Value], None],
        guard: ErrorGuard,
    ) -> None:
        self.replica = replica
        self.store = store
        self.peers = peers
        self.publish = publish
        self.guard = guard
        self._inputs: Queue[ReceivedMessage | SubmittedProposal] = Queue(MAX_INPUTS)
        self._proposals: dict[int, AsyncResult] = {}
        self._last_proposal_key = 0

    def submit_message(self, sender: str, message: Message) -> bool:
        """Queue a message from another replica; return False if the queue is full and the message dropped."""
        try:
            self._inputs.put_nowait(ReceivedMessage(sender, message))
        except Full:
            return False
        return True

    def propose(self, base_version: int, proposal_id: str, text: str) -> ProposalOutcome:
        """Propose a valid document, and wait up to `PROPOSAL_TIMEOUT_S` for the outcome."""
        outcome = AsyncResult()
        try:
            self._inputs.put_nowait(SubmittedProposal(base_version, proposal_id, text, outcome))
        except Full:
            return ProposalRejected("", OVERLOADED)
        try:
            result: ProposalOutcome = outcome.get(timeout=PROPOSAL_TIMEOUT_S)
        except gevent.Timeout:
            return ProposalOutcomeUnknown()
        return result

    def run(self) -> None:
        """Run the replica until the greenlet is killed or the store has failed permanently.

        After a store failure the node continues without its replica: it does not vote until it is restarted.
        """
        try:
            self._run_replica()
        except StoreError as error:
            self.guard.log.info("quorum", replica_stopped=str(error))
            self._resolve_all_as_unknown()

    def _run_replica(self) -> None:
        logged_role = None
        while True:
            with suppress(Empty):
                self._handle_input(self._inputs.get(timeout=TICK_INTERVAL_S))
            self._execute_effects(self.replica.tick(clock.now()))
            role = (self.replica.role, self.replica.leader_name)
            if role != logged_role:
                logged_role = role
                self._log_role()

    def _log_role(self) -> None:
        self.guard.log.info(
            "quorum",
            role=self.replica.role.value,
            leader=self.replica.leader_name,
            term=self.replica.state.promised.term,
        )

    def _handle_input(self, queued: ReceivedMessage | SubmittedProposal) -> None:
        if isinstance(queued, ReceivedMessage):
            effects = self.replica.receive(queued.sender, queued.message, clock.now())
        else:
            self._last_proposal_key += 1
            self._proposals[self._last_proposal_key] = queued.outcome
            effects = self.replica.propose(
                self._last_proposal_key, queued.base_version, queued.proposal_id, queued.text
            )
        self._execute_effects(effects)

    def _execute_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Persist(state):
                    self._persist(state)
                case Send(recipient, message):
                    self.peers[recipient].send(encode(message))
                case Publish(value):
                    self.guard.log.info("configuration", version=value.version)
                    self.guard.call("configuration", self.publish, value)
                case Resolve(key, outcome):
                    self._proposals.pop(key).set(outcome)

    def _persist(self, state: DurableState) -> None:
        """Make a state durable, and repeat a failed write.

        A sync may take long. Other greenlets run meanwhile, but this replica does nothing else, so that it
        acknowledges no state before it is durable.

        Raises:
            StoreError: Writes failed for `MAX_STORE_FAILURE_NS`, or the store lost an acknowledged state.
        """
        deadline = clock.now() + MAX_STORE_FAILURE_NS
        error = _run_in_thread(self.store.write, state)
        if error:
            self.guard.log.info("quorum", store_write_retried=str(error))
        while error:
            if isinstance(error, LostStateError) or clock.now() > deadline:
                raise error
            self.guard.counters.add("quorum.store_write_failed")
            gevent.sleep(STORE_RETRY_PAUSE_S)
            error = _run_in_thread(self.store.reopen, state) or _run_in_thread(self.store.write, state)

    def _resolve_all_as_unknown(self) -> None:
        for outcome in self._proposals.values():
            outcome.set(ProposalOutcomeUnknown())
        self._proposals.clear()


def _run_in_thread(operation: Callable[[DurableState], None], state: DurableState) -> StoreError | None:
    """Run a store operation in a thread, as it blocks; return its error, None on success."""

    def attempt() -> StoreError | None:
        try:
            operation(state)
        except StoreError as error:
            return error
        return None

    result: StoreError | None = gevent.get_hub().threadpool.apply(attempt)
    return result
