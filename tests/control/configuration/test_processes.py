"""Control nodes as processes: invalid messages, and a front that applies and rejects configurations."""

from gevent import socket

from marbleglade.control.quorum.codec import encode
from marbleglade.control.quorum.messages import Prepare, ProposalAccepted, ProposalInvalid, ReplicaHello
from marbleglade.control.quorum.state import Ballot
from marbleglade.testing.discovery_service import DiscoveryService
from tests.control.configuration.proxied_nodes import FRONT, NODES, WAIT_LIMIT_S, ProxiedNodes, document
from tests.harness.waiting import wait_until

LOCAL = "127.0.0.1"


def test_an_invalid_message_closes_only_its_own_connection(nodes):
    nodes.start(*NODES)
    leader = nodes.wait_for_leader()
    other_deployment = encode(ReplicaHello("other", "c1")) + encode(Prepare(Ballot(99, 1)))
    unlisted = encode(ReplicaHello("shop", "c9"))
    for data in (
        b"\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"x" * (1 << 20) + b"xx",
        other_deployment,
        unlisted,
        encode(Prepare(Ballot(9, 1))),
    ):
        with socket.create_connection(nodes.addresses[leader][1], 5.0) as sock:
            sock.settimeout(WAIT_LIMIT_S)
            try:
                sock.sendall(data)
                assert sock.recv(1) == b""
            except ConnectionError:
                pass
    assert isinstance(nodes.propose("region {"), ProposalInvalid)
    assert nodes.propose(document(0)) == ProposalAccepted(1)
    assert nodes.log(leader).last_value("term") < 9


def test_a_front_applies_versions_and_the_status_shows_why_it_rejected_one(tmp_path):
    discovery = DiscoveryService()
    discovery.announce_address("k", (LOCAL, 9), "box", full_list=True, started_ms=1)
    nodes = ProxiedNodes(tmp_path, discovery.address)
    try:
        nodes.start(*NODES)
        nodes.wait_for_leader()
        nodes.start_front()
        assert nodes.propose(document(0)) == ProposalAccepted(1)
        wait_until(lambda: nodes.configuration_status()["done"], WAIT_LIMIT_S, interval=0.1)
        with_peers = document(1).replace("}", 'peer: "127.0.0.1:9" }')
        assert nodes.propose(with_peers) == ProposalAccepted(2)
        wait_until(lambda: nodes.configuration_status()["refused"], WAIT_LIMIT_S, interval=0.1)
        status = nodes.configuration_status()
        assert status["version"] == 2 and not status["done"]
        assert status["lacking"]["first"] == [FRONT]
        reason = "it lists peers, and this front was started without"
        assert status["refused"] == [{"front": FRONT, "version": 2, "reason": reason}]
        assert nodes.propose(document(2)) == ProposalAccepted(3)
        wait_until(lambda: nodes.configuration_status()["done"], WAIT_LIMIT_S, interval=0.1)
        assert not nodes.configuration_status()["refused"]
    finally:
        nodes.close()
        discovery.close()
