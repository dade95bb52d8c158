"""State machines in which hypothesis draws message losses, crashes and partitions of a quorum."""

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from marbleglade.control.quorum.messages import ProposalAccepted
from marbleglade.control.quorum.replica import Role
from tests.control.quorum.cluster import HEARTBEAT_INTERVAL, Cluster, require


class QuorumMachine(RuleBasedStateMachine):
    """Applies rules that hypothesis draws to a cluster, which checks its guarantees at each step."""

    sizes = (3, 5)
    cluster_class = Cluster

    @initialize(data=strategies.data())
    def start_cluster(self, data):
        self.cluster = self.cluster_class(data.draw(strategies.sampled_from(self.sizes)))
        self.cluster.run_until(self.cluster.leader)

    def member(self, index):
        return self.cluster.names[index % len(self.cluster.names)]

    indices = strategies.integers(0, 400)

    @rule(index=indices, steps=strategies.integers(1, 30))
    def advance_time(self, index, steps):
        self.cluster.now += steps * HEARTBEAT_INTERVAL // 4
        self.cluster.tick(self.member(index))

    @rule(count=strategies.integers(1, 12))
    def rounds(self, count):
        self.cluster.run(count)

    @precondition(lambda self: self.cluster.network)
    @rule(index=indices, duplicate=strategies.booleans())
    def deliver(self, index, duplicate):
        self.cluster.deliver(index % len(self.cluster.network), duplicate)

    @precondition(lambda self: self.cluster.network)
    @rule(index=indices)
    def lose_message(self, index):
        del self.cluster.network[index % len(self.cluster.network)]

    @rule(index=indices, lag=strategies.sampled_from([0, 0, 0, 1]))
    def propose(self, index, lag):
        name = self.member(index)
        leaders = [name for name, replica in self.cluster.replicas.items() if replica.role is Role.LEADER]
        name = leaders[index % len(leaders)] if leaders else name
        if name in self.cluster.replicas:
            newest = self.cluster.replicas[name].state.chosen.version
            self.cluster.propose(name, max(0, newest - lag))

    @rule(index=indices, effect=strategies.integers(0, 5))
    def crash_between_effects(self, index, effect):
        self.cluster.crash_at = self.member(index), effect

    @rule(index=indices)
    def crash(self, index):
        if (name := self.member(index)) in self.cluster.replicas:
            self.cluster.crash(name)

    @rule(index=indices)
    def restart(self, index):
        if (name := self.member(index)) not in self.cluster.replicas:
            self.cluster.start(name)

    @rule(index=indices)
    def lose_store(self, index):
        """Loses a store if all replicas are voters, so that only one store at a time is lost."""
        if all(state.voter for state in self.cluster.stores.values()):
            self.cluster.lose_store(self.member(index))

    @rule(indices=strategies.sets(indices, max_size=2))
    def partition(self, indices):
        self.cluster.isolate(*{self.member(index) for index in indices})

    def heal(self):
        cluster = self.cluster
        cluster.crash_at, cluster.partitions = None, set()
        for name in cluster.names:
            if name not in cluster.replicas:
                cluster.start(name)

    def teardown(self):
        if not (cluster := getattr(self, "cluster", None)):
            return
        self.heal()
        cluster.run_until(cluster.has_converged)
        version = cluster.replicas[cluster.leader()].state.chosen.version
        require(version >= max(cluster.final_values, default=0), "acknowledged versions are never lost")
        for _ in range(3):  # a leader change in progress can prevent acceptance
            cluster.run_until(cluster.has_converged)
            leader = cluster.leader()
            key = cluster.propose(leader, cluster.replicas[leader].state.chosen.version)
            cluster.run_until(lambda key=key: key in cluster.outcomes)
            if isinstance(cluster.outcomes[key], ProposalAccepted):
                return
        raise AssertionError("no proposal is accepted")


class SafetyMachine(QuorumMachine):
    """Checks only safety, as a cluster with an injected fault need not converge."""

    def teardown(self):
        if getattr(self, "cluster", None):
            self.heal()
            self.cluster.run(60)


SETTINGS = settings(max_examples=100, stateful_step_count=50, deadline=None, derandomize=True, database=None)
