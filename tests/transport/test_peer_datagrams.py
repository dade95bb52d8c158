"""Datagrams between fronts: removals and purges reach peers, and no endpoint is ever added by them."""

import gevent
from gevent import socket

from marbleglade.fleet.anti_entropy import AntiEntropy
from marbleglade.model.peer_update import UpstreamLeaving
from marbleglade.model.upstream import UpstreamState
from marbleglade.model.watch_event import Endpoint, EndpointListChange, Purge
from marbleglade.runtime import clock
from marbleglade.settings.vocabulary import STATE_BY_SETTING
from marbleglade.transport.peer_datagrams import PeerSocket
from tests.harness.servers import bound_socket
from tests.harness.units import NS_PER_MS
from tests.harness.waiting import wait_until


def free_addresses(count):
    """Return addresses to which no datagram socket is bound."""
    socks = [bound_socket(socket.SOCK_DGRAM) for _ in range(count)]
    addresses = [sock.getsockname() for sock in socks]
    for sock in socks:
        sock.close()
    return addresses


def anti_entropy_without_contact():
    """Return the state of a front that has received nothing from its discovery service for two seconds."""
    return AntiEntropy(1000 * NS_PER_MS, 9000 * NS_PER_MS, clock.now() - 2000 * NS_PER_MS)


def test_peers_receive_removals_and_purges_and_nothing_else(front):
    addresses = free_addresses(2)
    received = []
    apply_peer_update = front.request_handler.events.apply_peer_update
    querying = PeerSocket(
        addresses[0], addresses, 1, anti_entropy_without_contact(), received.append, lambda: 0, front.guard
    )
    publishing = PeerSocket(
        addresses[1], addresses, 1, anti_entropy_without_contact(), apply_peer_update, clock.now, front.guard
    )
    loops = [gevent.spawn(peer.run) for peer in (querying, publishing)]
    front.publish, front.retract = publishing.record, publishing.anti_entropy.retract
    front.apply_endpoints("s1", "s2")
    for id, state in (("s2", "leaving"), ("s3", "leaving"), ("s3", "active")):
        member = Endpoint(id, ("127.0.0.1", 9), "z", "box", 0, STATE_BY_SETTING[state], 0)
        front.request_handler.events.apply_and_publish(EndpointListChange(2, False, [member]))
    front.request_handler.events.apply_and_publish(Purge(4, 0x1F, 0, 5))
    publishing.tick()  # it is in contact with its discovery service, so it rarely queries
    querying.tick()
    wait_until(lambda: len(received) == 2)
    assert received == [UpstreamLeaving(0, "s2", 0), Purge(0, 31, 0, 5)]
    for update in (
        UpstreamLeaving(5, "s1", 0),
        UpstreamLeaving(5, "s1", 0),
        UpstreamLeaving(6, "s3", 8),
        UpstreamLeaving(7, "unknown", 0),
    ):
        querying.send(update, addresses[1])
    socket.socket(socket.AF_INET, socket.SOCK_DGRAM).sendto(b"x" * 300, addresses[1])
    wait_until(
        lambda: front.counters.counts["peer.received"] == 6 and front.counters.counts["peer.dropped"] == 1
    )
    for loop in loops:
        loop.kill()
    states = {registered.id: registered.upstream.state for registered in front.upstreams.by_id.values()}
    assert states == {"s1": UpstreamState.DRAINING, "s2": UpstreamState.DRAINING, "s3": UpstreamState.ACTIVE}
