"""The promotion of a learner, a replica with a new store, to a voter. Does no I/O.

A replica that lost its store may have lost a promise or a vote with it. It may vote again only with a state
that is no older than the lost one. Replies of a majority do not suffice: the candidate that received the
lost promise may be outside that majority. But each candidate durably promises its own ballot, and each
leader durably accepts its own value, before sending it. So the highest promise and the highest vote among
*all* other nodes, requested after the new store was created, are no older than the lost ones. If two
replicas lose their stores at the same time, each needs the other's state as a voter: both stay learners, and
the other replicas continue if they are a majority.

The first node in the settings tells the first start of the group from a lost store: once all nodes replied
that their stores are new, it founds the group and records the ids of these stores as founders. A new store
that is among the founders has lost nothing.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from .acceptor import Acceptor
from .group import Group
from .messages import StateReply
from .state import DurableState, FoundingMember


def promoted_state(
    group: Group, own: DurableState, others: Mapping[str, DurableState]
) -> DurableState | None:
    """Return the state with which a learner becomes a voter; None while it must stay a learner.

    Args:
        group: The members, from the learner's point of view.
        own: The state in the learner's store.
        others: The states of other members by name, requested after the learner's store was created.
    """
    voters = [state for state in others.values() if state.voter]
    founders = next((state.founders for state in voters), ())
    if FoundingMember(group.name, own.store_id) in founders:
        return replace(own, voter=True, founders=founders)
    if len(others) < len(group.other_members):
        return None
    if not voters and group.own_index == 0:
        return replace(own, voter=True, founders=_founding_members(group, own, others))
    if not voters or len(voters) < len(others):
        return None
    promised = max(state.promised for state in voters)
    accepted = max((state.accepted for state in voters), key=lambda vote: vote.rank)
    return replace(own, voter=True, founders=founders, promised=promised, accepted=accepted)


def _founding_members(
    group: Group, own: DurableState, others: Mapping[str, DurableState]
) -> tuple[FoundingMember, ...]:
    states = {**others, group.name: own}
    return tuple(FoundingMember(member, states[member].store_id) for member in group.members)


class Learner:
    """Collects the states of the other replicas until this replica may vote.

    Attributes:
        member_states: The last state that each other member replied with.
    """

    def __init__(self, group: Group, acceptor: Acceptor) -> None:
        self.group = group
        self.acceptor = acceptor
        self.member_states: dict[str, DurableState] = {}

    def members_to_query(self) -> list[str]:
        """Return the members whose state is still needed: no reply yet, or a reply as a learner."""
        return [member for member in self.group.other_members if not self._is_known_voter(member)]

    def handle_state_reply(self, sender: str, reply: StateReply) -> None:
        """Record a reply, unless it answers a request from an earlier store of this node."""
        own = self.acceptor.state
        if not own.voter and reply.requester_store_id == own.store_id:
            self.member_states[sender] = reply.state
            self.acceptor.learn(reply.state.chosen)

    def promote(self) -> bool:
        """Make the replica a voter if the collected states allow it; return whether it became one."""
        state = promoted_state(self.group, self.acceptor.state, self.member_states)
        if state is None:
            return False
        self.acceptor.persist(state)
        self.member_states.clear()
        return True

    def _is_known_voter(self, member: str) -> bool:
        return member in self.member_states and self.member_states[member].voter
