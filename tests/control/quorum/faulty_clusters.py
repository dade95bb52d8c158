"""Clusters with injected faults, which the checks of the cluster must find."""

from dataclasses import replace

from marbleglade.control.quorum.effects import Persist
from marbleglade.control.quorum.leader import AcceptRound
from tests.control.quorum.cluster import Cluster


class VoteNotDurable(Cluster):
    """An accepted value is not written."""

    def persist(self, name, state):
        super().persist(name, replace(state, accepted=self.durable[name].accepted))


class PromiseNotDurable(Cluster):
    """A promise is not written, unless a vote implies it."""

    def persist(self, name, state):
        promised = max(self.durable[name].promised, state.accepted.ballot)
        super().persist(name, replace(state, promised=promised))


class AcknowledgedBeforeDurable(Cluster):
    """Messages are sent before the state that they depend on is written."""

    def execute_effects(self, name, effects):
        super().execute_effects(name, sorted(effects, key=lambda effect: isinstance(effect, Persist)))


class MajorityOffByOne(Cluster):
    """Half of the nodes, rounded down, counts as a majority."""

    def start(self, name):
        super().start(name)
        self.replicas[name].group.majority -= 1


class LostStoreVotesAtOnce(Cluster):
    """A replica that lost its store votes at once."""

    def new_store(self):
        state = super().new_store()
        return replace(state, voter=self.store_count > len(self.names))


class BaseVersionIgnored(Cluster):
    """A proposal is put to the vote whatever version it replaces."""

    def start(self, name):
        super().start(name)
        leadership = self.replicas[name].leadership

        def start_next_round():
            if leadership.pending_proposals and not leadership.active_round:
                proposal = leadership.pending_proposals.popleft()
                leadership.start_round(AcceptRound(proposal.value, proposal))

        leadership.start_next_round = start_next_round
