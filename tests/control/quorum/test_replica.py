"""Single scenarios with quorum replicas in simulated time."""

import pytest

from marbleglade.control.quorum import messages
from marbleglade.control.quorum.leader import MAX_PENDING_PROPOSALS
from marbleglade.control.quorum.messages import (
    ProposalAccepted,
    ProposalConflict,
    ProposalOutcomeUnknown,
    ProposalRejected,
)
from marbleglade.control.quorum.replica import Role
from marbleglade.control.quorum.state import Ballot
from tests.control.quorum.cluster import HEARTBEAT_INTERVAL, Cluster, ViolationError, converged_cluster
from tests.control.quorum.faulty_clusters import LostStoreVotesAtOnce


def test_first_start_founds_the_group_once_all_nodes_are_up():
    cluster = Cluster(3)
    cluster.crash("c2")
    cluster.run(100)
    assert cluster.leader() is None
    cluster.start("c2")
    cluster.run_until(cluster.has_converged)
    assert len({state.founders for state in cluster.stores.values()}) == 1


def test_a_proposal_is_chosen_and_all_replicas_learn_it():
    cluster = converged_cluster()
    key = cluster.propose(cluster.leader(), 0)
    cluster.run_until(lambda: all(cluster.published_versions.get(name) == 1 for name in cluster.names))
    assert cluster.outcomes[key] == ProposalAccepted(1)


def test_the_second_proposal_with_the_same_base_version_is_a_conflict():
    cluster = converged_cluster(5)
    first, second = (cluster.propose(cluster.leader(), 0) for _ in range(2))
    cluster.run_until(lambda: second in cluster.outcomes)
    assert [cluster.outcomes[first], cluster.outcomes[second]] == [ProposalAccepted(1), ProposalConflict(1)]


def test_a_retried_proposal_gets_the_same_outcome():
    cluster = converged_cluster()
    key = cluster.propose(cluster.leader(), 0)
    cluster.run_until(lambda: key in cluster.outcomes)
    value, leader = cluster.proposed_values[key], cluster.leader()
    cluster.proposed_values[99] = value
    replica = cluster.replicas[leader]
    cluster.execute_effects(leader, replica.propose(99, 0, value.proposal_id, value.text))
    assert cluster.outcomes[99] == ProposalAccepted(1)


def test_a_leader_without_majority_reports_an_unknown_outcome_and_rejects_later_proposals():
    cluster = converged_cluster()
    leader = cluster.leader()
    cluster.isolate(leader)
    key = cluster.propose(leader, 0)
    cluster.run_until(lambda: key in cluster.outcomes)
    assert cluster.outcomes[key] == ProposalOutcomeUnknown()
    later = cluster.propose(leader, 0)
    assert isinstance(cluster.outcomes[later], ProposalRejected)
    assert not cluster.replicas[leader].has_majority(cluster.now)


def test_a_follower_names_the_leader_and_a_full_queue_rejects():
    cluster = converged_cluster()
    leader = cluster.leader()
    follower = next(name for name in cluster.names if name != leader)
    key = cluster.propose(follower, 0)
    assert cluster.outcomes[key].leader == leader
    cluster.isolate(leader)
    keys = [cluster.propose(leader, 0) for _ in range(MAX_PENDING_PROPOSALS + 2)]
    assert keys[-1] in cluster.outcomes and keys[-2] not in cluster.outcomes


def test_a_value_that_a_majority_accepted_is_completed_by_the_next_leader():
    cluster = converged_cluster()
    leader = cluster.leader()
    cluster.propose(leader, 0)
    while cluster.network:  # the others accept; the leader crashes before their replies arrive
        _sender, recipient, _message = cluster.network[0]
        if recipient == leader:
            cluster.network.popleft()
        else:
            cluster.deliver(0)
    cluster.crash(leader)
    cluster.run_until(lambda: cluster.leader() and cluster.final_values)
    assert cluster.final_values[1].text == "text 1"


def test_a_replica_that_lost_its_store_votes_only_once_all_others_replied():
    cluster = converged_cluster(5)
    key = cluster.propose(cluster.leader(), 0)
    cluster.run_until(lambda: key in cluster.outcomes)
    cluster.crash("c4")
    cluster.lose_store("c3")
    cluster.run(200)
    assert not cluster.stores["c3"].voter
    assert cluster.published_versions["c3"] == 1  # a learner serves the chosen version
    cluster.start("c4")
    cluster.run_until(cluster.has_converged)
    assert cluster.stores["c3"].accepted.value.version == 1


def test_a_partitioned_node_raises_the_term_by_one_at_most():
    cluster = converged_cluster()
    leader = cluster.leader()
    isolated = next(name for name in cluster.names if name != leader)
    term = cluster.replicas[leader].ballot.term
    cluster.isolate(isolated)
    cluster.run(400)
    assert cluster.stores[isolated].promised.term == term + 1
    cluster.partitions = set()
    cluster.run_until(cluster.has_converged)


def promise_then_crash(cluster):
    """c1 promises c2's ballot and crashes; then an earlier `Accept` of the old leader c0 reaches c1."""
    cluster.run_until(cluster.has_converged)
    leader = cluster.replicas["c0"]
    assert leader.role is Role.LEADER
    cluster.propose("c0", 0)
    accept = next(message for _, recipient, message in cluster.network if recipient == "c1")
    cluster.network.clear()
    cluster.isolate("c0")
    cluster.now += 20 * HEARTBEAT_INTERVAL
    cluster.tick("c2")
    while cluster.replicas["c2"].role is not Role.LEADER:
        cluster.deliver(0)
    cluster.crash("c1")
    cluster.start("c1")
    cluster.partitions = {frozenset(("c0", "c2"))}
    cluster.network.clear()
    cluster.network.append(("c0", "c1", accept))
    while cluster.network:
        cluster.deliver(0)
    cluster.propose("c2", 0)
    cluster.run(40)


def test_a_promise_survives_a_crash():
    promise_then_crash(Cluster(3))


def lose_store_then_partition(cluster):
    """c0 and c1 choose a version without c2; then c0 is partitioned, and c1 loses its store."""
    cluster.run_until(cluster.has_converged)
    cluster.run(8)
    cluster.isolate("c2")
    key = cluster.propose("c0", 0)
    cluster.run_until(lambda: key in cluster.outcomes)
    cluster.isolate("c0")
    cluster.lose_store("c1")
    cluster.run(80)
    if leader := cluster.leader():
        cluster.propose(leader, 0)
        cluster.run(8)


def test_a_replica_that_lost_its_store_forms_no_majority_with_an_outdated_replica():
    cluster = Cluster(3)
    lose_store_then_partition(cluster)
    assert not cluster.leader()
    with pytest.raises(ViolationError, match="one version has one document"):
        lose_store_then_partition(LostStoreVotesAtOnce(3))


def test_messages_from_nodes_outside_the_group_are_dropped():
    cluster = converged_cluster()
    replica = cluster.replicas["c0"]
    assert replica.receive("unlisted", messages.Prepare(Ballot(99, 7)), cluster.now) == []
