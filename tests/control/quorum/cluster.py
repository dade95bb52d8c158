"""A cluster of quorum replicas in simulated time, with their stores and network, that checks guarantees.

The guarantees: a version has only one document, acknowledged versions are never lost, versions never
decrease, messages reveal only durable state, and no version is acknowledged without a majority.
"""

from collections import deque

from marbleglade.control.quorum import messages
from marbleglade.control.quorum.effects import Persist, Publish, Resolve, Send
from marbleglade.control.quorum.messages import ProposalAccepted
from marbleglade.control.quorum.replica import Replica, Role
from marbleglade.control.quorum.state import DurableState, Value

HEARTBEAT_INTERVAL = 100
MAX_MESSAGES_IN_FLIGHT = 400


class ViolationError(Exception):
    """A guarantee of the quorum is violated."""


def require(condition, guarantee):
    if not condition:
        raise ViolationError(guarantee)


class Cluster:
    """Replicas with their stores and network; checks all messages, published values and outcomes.

    Attributes:
        stores: The durable state of each node.
        replicas: The running replicas by node name.
        network: The messages in flight, as sender, recipient and message.
        partitions: The pairs of nodes between which messages are dropped.
        crash_at: The node to crash, and the index of the effect before which it crashes.
        published_versions: The last version that each node published.
        final_values: The first value that was published or acknowledged for each version.
        outcomes: The outcome of each resolved proposal, by key.
        proposed_values: The value of each proposal, by key.
    """

    def __init__(self, count):
        self.names = tuple(f"c{number}" for number in range(count))
        self.majority = count // 2 + 1
        self.now, self.store_count, self.last_key = 0, 0, 0
        self.stores: dict[str, DurableState] = {}
        self.replicas: dict[str, Replica] = {}
        self.network: deque[tuple[str, str, object]] = deque()
        self.partitions: set[frozenset[str]] = set()
        self.crash_at: tuple[str, int] | None = None
        self.published_versions: dict[str, int] = {}
        self.final_values: dict[int, Value] = {}
        self.outcomes: dict[int, object] = {}
        self.proposed_values: dict[int, Value] = {}
        for name in self.names:
            self.stores[name] = self.new_store()
            self.start(name)

    def new_store(self):
        self.store_count += 1
        return DurableState(f"store{self.store_count}")

    def start(self, name):
        self.replicas[name] = Replica(name, self.names, self.stores[name], HEARTBEAT_INTERVAL, self.now)
        if self.stores[name].chosen.version:
            self.publish(name, self.stores[name].chosen)

    def crash(self, name):
        del self.replicas[name]

    def lose_store(self, name):
        self.replicas.pop(name, None)
        self.stores[name] = self.new_store()
        self.published_versions[name] = 0
        self.start(name)

    def execute_effects(self, name, effects):
        for number, effect in enumerate(effects):
            if self.crash_at == (name, number):
                self.crash_at = None
                self.crash(name)
                return
            match effect:
                case Persist(state):
                    self.persist(name, state)
                case Send(recipient, message):
                    self.require_durable(name, message)
                    if len(self.network) < MAX_MESSAGES_IN_FLIGHT:
                        self.network.append((name, recipient, message))
                case Publish(value):
                    self.publish(name, value)
                case Resolve(key, outcome):
                    self.resolve(key, outcome)

    def require_durable(self, name, message):
        """Checks that the sender's store contains the state that a message reveals."""
        state = self.stores[name]
        guarantee = "what is sent is durable"
        match message:
            case messages.Promise(ballot, _):
                require(state.promised >= ballot, guarantee)
            case messages.Accepted(ballot, version):
                require(state.accepted.rank >= (ballot, version), guarantee)
            case messages.Chosen(value):
                require(state.chosen.version >= value.version, guarantee)

    def persist(self, name, state):
        self.stores[name] = state

    def publish(self, name, value):
        require(value.version >= self.published_versions.get(name, 0), "versions never decrease")
        self.published_versions[name] = value.version
        self.require_one_value_per_version(value)

    def require_one_value_per_version(self, value):
        first = self.final_values.setdefault(value.version, value)
        require(first == value, "one version has one document")

    def resolve(self, key, outcome):
        assert key not in self.outcomes, "a proposal has two outcomes"
        self.outcomes[key] = outcome
        if isinstance(outcome, ProposalAccepted):
            value = self.proposed_values[key]
            assert value.version == outcome.version
            self.require_one_value_per_version(value)
            storing = [
                name for name, state in self.stores.items() if state.accepted.value.version >= value.version
            ]
            require(len(storing) >= self.majority, "a majority stores what is acknowledged")

    def propose(self, name, base):
        self.last_key += 1
        value = Value(base + 1, f"p{self.last_key}", f"text {self.last_key}")
        self.proposed_values[self.last_key] = value
        replica = self.replicas[name]
        self.execute_effects(name, replica.propose(self.last_key, base, value.proposal_id, value.text))
        return self.last_key

    def deliver(self, index, duplicate=False):
        sender, recipient, message = self.network[index]
        if not duplicate:
            del self.network[index]
        if recipient in self.replicas and frozenset((sender, recipient)) not in self.partitions:
            self.execute_effects(recipient, self.replicas[recipient].receive(sender, message, self.now))

    def tick(self, name):
        if name in self.replicas:
            self.execute_effects(name, self.replicas[name].tick(self.now))

    def run_round(self):
        """Advances time by a quarter of a heartbeat interval; ticks all replicas, delivers all messages."""
        self.now += HEARTBEAT_INTERVAL // 4
        for name in self.names:
            self.tick(name)
        for _ in range(len(self.network)):
            self.deliver(0)

    def run(self, rounds=400):
        for _ in range(rounds):
            self.run_round()

    def run_until(self, condition, rounds=400):
        for _ in range(rounds):
            if condition():
                return
            self.run_round()
        raise AssertionError("the condition did not become true in time")

    def leader(self):
        leaders = [
            name
            for name, replica in self.replicas.items()
            if replica.role is Role.LEADER and replica.has_majority(self.now)
        ]
        return max(leaders, key=lambda name: self.replicas[name].ballot, default=None)

    def isolate(self, *names):
        self.partitions = {
            frozenset((name, other))
            for name in names
            for other in self.names
            if (other in names) < (name in names)
        }

    def has_converged(self):
        """Whether all replicas are voters with the same chosen version, and no round is active."""
        leader = self.replicas.get(self.leader())
        if not leader or leader.leadership.active_round:
            return False
        versions = {replica.state.chosen.version for replica in self.replicas.values()}
        return len(versions) == 1 and all(replica.state.voter for replica in self.replicas.values())


def converged_cluster(count=3):
    cluster = Cluster(count)
    cluster.run_until(cluster.has_converged)
    cluster.run(8)  # every follower received a heartbeat
    return cluster
