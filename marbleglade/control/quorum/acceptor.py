"""The Paxos acceptor of one replica: its promise, its last vote and the newest value that it learned.

Each change of this durable state is a `Persist` effect, which the driver completes before it executes the
effects after it. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from .effects import Effect, Persist, Publish, Resolve, Send
from .messages import Accepted, Message, Promise, ProposalOutcome, Reject
from .state import Ballot, DurableState, Value, Vote


class Acceptor:
    """An acceptor of Paxos, which also collects the effects of the current call on the replica.

    Attributes:
        state: The durable state after all collected effects.
        effects: The effects that the driver has to execute, in order.
    """

    def __init__(self, state: DurableState) -> None:
        self.state = state
        self.effects: list[Effect] = []

    def reject_outdated(self, sender: str, ballot: Ballot) -> bool:
        """Reject a message if its ballot is below the promised one; return whether it was rejected."""
        if ballot >= self.state.promised:
            return False
        self.send(sender, Reject(ballot, self.state.promised))
        return True

    def promise(self, sender: str, ballot: Ballot) -> None:
        """Promise to accept no value of a lower ballot. The ballot must not be below the promised one."""
        if ballot > self.state.promised:
            self.persist(replace(self.state, promised=ballot))
        self.send(sender, Promise(ballot, self.state.accepted))

    def accept(self, sender: str, ballot: Ballot, value: Value) -> None:
        """Accept a value unless a later one was accepted. The ballot must not be below the promised one."""
        vote = Vote(ballot, value)
        if vote.rank < self.state.accepted.rank:
            return
        if vote.rank > self.state.accepted.rank:
            self.persist(replace(self.state, promised=ballot, accepted=vote))
        self.send(sender, Accepted(ballot, value.version))

    def learn(self, value: Value) -> None:
        """Record and publish a chosen value if its version is newer than the recorded one."""
        if value.version > self.state.chosen.version:
            self.persist(replace(self.state, chosen=value))
            self.effects.append(Publish(value))

    def persist(self, state: DurableState) -> None:
        """Replace the state, and add the effect that makes it durable."""
        self.state = state
        self.effects.append(Persist(state))

    def send(self, recipient: str, message: Message) -> None:
        """Add the effect that sends a message to one replica."""
        self.effects.append(Send(recipient, message))

    def broadcast(self, recipients: Iterable[str], message: Message) -> None:
        """Add the effects that send a message to several replicas."""
        for recipient in recipients:
            self.send(recipient, message)

    def resolve(self, key: int, outcome: ProposalOutcome) -> None:
        """Add the effect that reports the outcome of the proposal with this key."""
        self.effects.append(Resolve(key, outcome))

    def drain_effects(self) -> list[Effect]:
        """Return the collected effects in their order, and start a new list."""
        effects = self.effects
        self.effects = []
        return effects
