"""Clusters with one injected fault each, which the checks of `Cluster` must detect."""

from dataclasses import replace

from marbleglade.control.quorum.effects import Persist
from marbleglade.control.quorum.leader import AcceptRound
from tests.control.quorum.cluster import Cluster


class VoteNotDurable(Cluster):
    """Does not write accepted values to the store."""

    def persist(self, name, state):
        super().persist(name, replace(state, accepted=self.stores[name].accepted))


class PromiseNotDurable(Cluster):
    """Does not write promises to the store, except those that a vote implies."""

    def persist(self, name, state):
        promised = max(self.stores[name].promised, state.accepted.ballot)
        super().persist(name, replace(state, promised=promised))


class AcknowledgedBeforeDurable(Cluster):
    """Sends messages before it writes the state that they depend on."""

    def execute_effects(self, name, effects):
        super().execute_effects(name, sorted(effects, key=lambda effect: isinstance(effect, Persist)))


class MajorityOffByOne(Cluster):
    """Counts half of the nodes, rounded down, as a majority."""

    def start(self, name):
        super().start(name)
        self.replicas[name].group.majority -= 1


class LostStoreVotesAtOnce(Cluster):
    """Lets a replica that lost its store vote at once."""

    def new_store(self):
        state = super().new_store()
        return replace(state, voter=self.store_count > len(self.names))


class BaseVersionIgnored(Cluster):
    """Starts a round for a proposal without checking its base version."""

    def start(self, name):
        super().start(name)
        leadership = self.replicas[name].leadership

        def start_next_round():
            if leadership.pending_proposals and not leadership.active_round:
                proposal = leadership.pending_proposals.popleft()
                leadership.start_round(AcceptRound(proposal.value, proposal))

        leadership.start_next_round = start_next_round
