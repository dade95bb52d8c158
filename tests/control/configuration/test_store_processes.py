"""Control nodes as processes whose stores are lost, torn, foreign or fail for a while."""

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
    nodes.wait_for("version", 1)
    nodes.kill("c2")
    (nodes.store("c2") / "data.mdb").unlink()
    nodes.start("c2")
    nodes.wait_for("version", 1)
    nodes.wait_for("role", "follower", "c2")
    nodes.kill("c1")  # a majority now needs c2
    assert nodes.propose(document(1)) == ProposalAccepted(2)


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("failures", [1, 2, 3, 40])
def test_a_node_votes_on_after_its_directory_failed_for_a_while(nodes, tmp_path, error, failures):
    """Nothing is acknowledged before it is durable, and a write that fails for now is repeated."""
    control = FaultControl(tmp_path / "control")
    nodes.start(*NODES, environment=control.environment(build_shim(tmp_path)))
    nodes.wait_for_leader()
    assert nodes.propose(document(0)) == ProposalAccepted(1)
    nodes.wait_for("version", 1)
    nodes.kill("c2")
    control.set("disk_errno", error)
    control.set("disk_failures", failures)
    assert nodes.propose(document(1)) == ProposalAccepted(2)  # both remaining nodes have to store it
    assert control.get("disk_failures") <= 0
    nodes.wait_for("version", 2)
    nodes.kill("c0", "c1")
    for name in ("c0", "c1"):
        store = Store(str(nodes.store(name)), "shop", name)
        assert store.state.accepted.value.version == 2
        store.close()


def test_a_torn_or_foreign_store_is_refused_with_one_line(nodes):
    nodes.start("c0")
    nodes.wait_for("role", "learner", "c0")
    nodes.kill("c0")
    file = nodes.store("c0") / "data.mdb"
    data = file.read_bytes()
    file.write_bytes(data[: len(data) // 2])
    corrupt = run_program(*nodes.arguments("c0"))
    file.write_bytes(data)
    foreign = run_program(*nodes.arguments("c0")[:-3], "c1", *nodes.arguments("c0")[-2:])
    for result, expected in ((corrupt, "corrupt"), (foreign, "node 'c0', expected 'c1'")):
        assert result.returncode == 2 and expected in result.stderr and result.stderr.count("\n") == 1
