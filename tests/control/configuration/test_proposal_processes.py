"""Outcomes of proposals to control nodes as processes that are killed, suspended or partitioned."""

import signal

import gevent
import pytest

from marbleglade.control import settings as control_settings_reader
from marbleglade.control.configuration.proposer import NotAccepted, Proposer
from marbleglade.control.quorum.codec import encode
from marbleglade.control.quorum.messages import ProposalAccepted, ProposalConflict, ProposalRejected
from marbleglade.control.quorum.store import Store
from tests.control.configuration.proxied_nodes import NODES, WAIT_LIMIT_S, document
from tests.harness.control_plane import control_settings
from tests.harness.programs import run_program
from tests.harness.servers import ConnectionServer
from tests.harness.settings import UNUSED_ADDRESS
from tests.harness.waiting import wait_until


def test_versions_are_accepted_in_order_and_survive_a_crash_of_all_nodes(nodes, tmp_path):
    nodes.start(*NODES)
    nodes.wait_for_leader()
    path = tmp_path / "document"
    path.write_text(document(0))
    result = run_program("control", "propose", nodes.operator_settings_file, path, "--timeout", 30)
    assert result.returncode == 0 and result.stdout.startswith("version 1 accepted in ")
    nodes.wait_for_logged("version", 1)
    result = run_program("control", "propose", nodes.operator_settings_file, path)
    assert (result.returncode, result.stderr.count("\n")) == (
        4,
        1,
    ) and "version 1 is in force" in result.stderr
    path.write_text(document(1, "nowhere").replace("shop", "other") + "\ncolour: 1")
    result = run_program("control", "propose", nodes.operator_settings_file, path)
    assert (result.returncode, result.stderr.count("\n")) == (2, 3)
    nodes.kill(*NODES)
    nodes.start(*NODES)
    nodes.wait_for_leader()
    assert nodes.propose(document(1, 9200)) == ProposalAccepted(2)
    nodes.wait_for_logged("version", 2)
    nodes.kill(*NODES)
    for name in NODES:
        store = Store(str(nodes.store(name)), "shop", name)
        assert store.state.chosen.text == document(1, 9200)
        store.close()


def test_of_two_concurrent_proposals_one_is_accepted_and_one_is_a_conflict(nodes):
    nodes.start(*NODES)
    nodes.wait_for_leader()
    proposals = [gevent.spawn(nodes.propose, document(0, port)) for port in (9301, 9302)]
    gevent.joinall(proposals)
    results = [proposal.value for proposal in proposals]
    assert sorted((type(result).__name__, result.version) for result in results) == [
        (ProposalAccepted.__name__, 1),
        (ProposalConflict.__name__, 1),
    ]


@pytest.mark.parametrize(
    ("hold_from", "leaders_end"),
    [(b'["Accept"', 0), (b'["Accepted"', 1)],
    ids=["before the others receive it", "after the others accepted it"],
)
def test_the_outcome_of_a_proposal_is_known_although_the_leader_is_killed(nodes, hold_from, leaders_end):
    nodes.start(*NODES)
    nodes.wait_for_leader()
    for proxy in nodes.proxies.values():
        proxy.hold_from = hold_from
    proposing = gevent.spawn(nodes.propose, document(0))
    wait_until(lambda: nodes.node_with_held_messages(leaders_end), WAIT_LIMIT_S, interval=0.02)
    leader = nodes.node_with_held_messages(leaders_end)
    nodes.kill(leader)
    for proxy in nodes.proxies.values():
        proxy.release()
    proposing.join(WAIT_LIMIT_S)
    assert proposing.value == ProposalAccepted(1)
    nodes.wait_for_logged("version", 1)
    nodes.start(leader)
    nodes.wait_for_logged("version", 1)


def test_a_minority_accepts_nothing_and_reports_unknown_and_rejected_outcomes(nodes, tmp_path):
    nodes.start(*NODES)
    leader = nodes.wait_for_leader()
    assert nodes.propose(document(0)) == ProposalAccepted(1)
    nodes.wait_for_logged("version", 1)
    path = tmp_path / "document"
    path.write_text(document(1))
    others = [name for name in NODES if name != leader]
    nodes.send_signal(signal.SIGSTOP, *others)  # their kernels accept bytes, but the processes do not answer
    result = run_program("control", "propose", nodes.operator_settings_file, path, "--timeout", 1)
    assert (result.returncode, result.stderr.count("\n")) == (6, 1) and "not known" in result.stderr
    nodes.kill(*others)
    nodes.wait_for_logged("role", "candidate", leader)
    result = run_program("control", "propose", nodes.operator_settings_file, path, "--timeout", 2)
    assert result.returncode == 5 and "not accepted" in result.stderr
    assert f"{leader}: no majority of the control nodes answers" in result.stderr
    assert nodes.log(leader).last_value("version") == 1  # the version that the node distributes


class RejectingNode(ConnectionServer):
    """Stands in for a node without a majority that rejects proposals after a delay."""

    DELAY_SECONDS = 0.02

    def _read(self, sock):
        with sock:
            sock.recv(1 << 16)
            gevent.sleep(self.DELAY_SECONDS)
            sock.sendall(encode(ProposalRejected("", "no majority")))


def test_a_proposal_that_no_node_received_is_not_made_unknown_by_its_last_attempt(tmp_path):
    """A last attempt that the deadline cuts off would get no answer and make the outcome unknown."""
    node = RejectingNode()
    path = tmp_path / "control.textproto"
    addresses = {"c0": (("127.0.0.1", 19), node.address)}
    path.write_text(control_settings(UNUSED_ADDRESS, "n3", addresses, "shop"))
    settings = control_settings_reader.read(str(path))
    timeouts = [0.4 + 0.005 * step for step in range(40)]
    running = [gevent.spawn(Proposer(settings, document(0), timeout).run) for timeout in timeouts]
    results = [proposer.get() for proposer in running]
    assert {result for result in results if not isinstance(result, NotAccepted)} == set()
    node.close()
