"""Control nodes as processes whose stores are lost, corrupt, of another node or fail temporarily."""

import errno

import pytest

from benchmarks.faults.shim import FaultControl, build_shim
from marbleglade.control.quorum.messages import ProposalAccepted
from marbleglade.control.quorum.store import Store
from tests.control.configuration.proxied_nodes import NODES, document
from tests.harness.programs import run_program


def test_a_node_that_lost_its_store_learns_the_versions_and_votes_again(nodes):
    nodes.start(*NODES)
    nodes.wait_for_leader()
    assert nodes.propose(document(0)) == ProposalAccepted(1)
    nodes.wait_for_logged("version", 1)
    nodes.kill("c2")
    (nodes.store("c2") / "data.mdb").unlink()
    nodes.start("c2")
    nodes.wait_for_logged("version", 1)
    nodes.wait_for_logged("role", "follower", "c2")
    nodes.kill("c1")  # a majority now needs c2
    assert nodes.propose(document(1)) == ProposalAccepted(2)


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("failures", [1, 2, 3, 40])
def test_a_node_continues_to_vote_after_its_directory_failed_temporarily(nodes, tmp_path, error, failures):
    """Nodes acknowledge a version only once it is durable, and repeat a write that fails."""
    faults = FaultControl(tmp_path / "control")
    nodes.start(*NODES, environment=faults.environment(build_shim(tmp_path)))
    nodes.wait_for_leader()
    assert nodes.propose(document(0)) == ProposalAccepted(1)
    nodes.wait_for_logged("version", 1)
    nodes.kill("c2")
    faults.set("disk_errno", error)
    faults.set("disk_failures", failures)
    assert nodes.propose(document(1)) == ProposalAccepted(2)  # both remaining nodes have to store it
    assert faults.get("disk_failures") <= 0
    nodes.wait_for_logged("version", 2)
    nodes.kill("c0", "c1")
    for name in ("c0", "c1"):
        store = Store(str(nodes.store(name)), "shop", name)
        assert store.state.accepted.value.version == 2
        store.close()


def test_a_corrupt_store_or_one_of_another_node_is_rejected_with_one_line(nodes):
    nodes.start("c0")
    nodes.wait_for_logged("role", "learner", "c0")
    nodes.kill("c0")
    file = nodes.store("c0") / "data.mdb"
    data = file.read_bytes()
    file.write_bytes(data[: len(data) // 2])
    corrupt = run_program(*nodes.arguments("c0"))
    file.write_bytes(data)
    other_node = run_program(*nodes.arguments("c0")[:-3], "c1", *nodes.arguments("c0")[-2:])
    for result, expected in ((corrupt, "corrupt"), (other_node, "node 'c0', expected 'c1'")):
        assert result.returncode == 2 and expected in result.stderr and result.stderr.count("\n") == 1
