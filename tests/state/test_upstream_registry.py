"""The registry of upstreams: endpoint list, roles, and maintenance."""

import pytest

from marbleglade.model.peer_update import UpstreamLeaving
from marbleglade.model.upstream import Upstream, UpstreamRole, UpstreamState, name_hash
from marbleglade.model.watch_event import Endpoint, EndpointListChange


@pytest.mark.parametrize(
    ("kind", "role"),
    [
        ("box", UpstreamRole.CACHE),
        ("hub", UpstreamRole.PARENT),
        ("root", UpstreamRole.ORIGIN),
        ("new", UpstreamRole.CACHE),
    ],
)
def test_an_upstream_has_the_role_of_its_machine_kind(front, kind, role):
    endpoint = Endpoint("s9", ("127.0.0.1", 9), "z", kind, 0, UpstreamState.ACTIVE, 0)
    update = front.upstreams.apply(EndpointListChange(2, False, [endpoint]))
    assert [upstream.role for upstream in update.listed] == [role]


def test_an_id_that_is_listed_again_after_its_removal_is_another_upstream(front):
    before = front.upstreams.by_id["s1"].upstream
    front.apply_endpoints("s1", state="left")
    assert before.state is UpstreamState.REMOVED and not front.upstreams.by_id
    assert front.apply_endpoints("s1")[0] is not before and isinstance(before, Upstream)


FRONT_STARTED_MS = 5000


def upstream_states(front) -> dict[str, UpstreamState]:
    return {id: entry.upstream.state for id, entry in front.upstreams.by_id.items()}


def test_withheld_upstreams_are_drained_until_they_are_released(front):
    front.apply_endpoints("s2", started_ms=FRONT_STARTED_MS)
    front.apply_endpoints("later", started_ms=FRONT_STARTED_MS + 1)
    front.apply_endpoints("draining", state="leaving")
    events = front.request_handler.events
    events.withhold_upstreams(FRONT_STARTED_MS)
    front.apply_endpoints("s3")
    withheld = {"s1": UpstreamState.DRAINING, "s2": UpstreamState.DRAINING, "s3": UpstreamState.DRAINING}
    others = {"later": UpstreamState.ACTIVE, "draining": UpstreamState.DRAINING}
    assert upstream_states(front) == withheld | others
    events.release_upstreams()
    assert upstream_states(front) == dict.fromkeys(withheld, UpstreamState.ACTIVE) | others
    front.apply_endpoints("s4")
    assert upstream_states(front)["s4"] is UpstreamState.ACTIVE


def test_an_upstream_that_is_drained_or_out_of_service_while_it_is_withheld_is_not_released(front):
    front.apply_endpoints("listed", "gossiped", "out", "removed")
    events = front.request_handler.events
    events.withhold_upstreams(FRONT_STARTED_MS)
    front.apply_endpoints("listed", state="leaving")
    front.apply_endpoints("removed", state="left")
    events.apply_peer_update(UpstreamLeaving(3, "gossiped", 0))
    events.take_out_of_service({name_hash(b"out"): 0})
    events.release_upstreams()
    drained = dict.fromkeys(["listed", "gossiped", "out"], UpstreamState.DRAINING)
    assert upstream_states(front) == drained | {"s1": UpstreamState.ACTIVE}


def test_an_origin_is_not_withheld(front):
    origin = Endpoint("origin", ("127.0.0.1", 9), "z", "root", 0, UpstreamState.ACTIVE, 0)
    front.upstreams.apply(EndpointListChange(2, False, [origin]))
    front.request_handler.events.withhold_upstreams(FRONT_STARTED_MS)
    assert upstream_states(front) == {"s1": UpstreamState.DRAINING, "origin": UpstreamState.ACTIVE}
