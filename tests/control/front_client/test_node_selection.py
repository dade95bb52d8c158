"""The selection of control nodes: order of preference, equal shares, zones, backoff and the primary."""

from collections import Counter

import pytest

from marbleglade.control.front_client.node_selection import (
    FIRST_BACKOFF_NS,
    MAX_BACKOFF_NS,
    REJECTED_BACKOFF_NS,
    SECOND_NS,
    STABLE_AFTER_NS,
    NodeSelection,
    best_pair,
    next_primary,
    rank_nodes,
    silence_timeout,
)
from marbleglade.control.settings import ControlSettings, NodeSettings, RegionSettings

FRONTS = [f"f{number}" for number in range(730)]


def node(name, region="east", zone="a"):
    return NodeSettings(name, region, zone, ("127.0.0.1", 1), ("127.0.0.1", 2))


def make_settings(nodes, fronts=tuple(FRONTS)):
    regions = (
        RegionSettings("east", ("127.0.0.1", 3), tuple(fronts)),
        RegionSettings("west", ("127.0.0.1", 3), ("w1",)),
    )
    return ControlSettings("d", regions, tuple(nodes), 2600, 5000, 6144)


EIGHT_NODES = [node(f"n{number}", "east" if number < 4 else "west", f"z{number % 4}") for number in range(8)]


def names(nodes):
    return [node.name for node in nodes]


def test_nodes_of_the_own_region_rank_first_regardless_of_the_order_in_the_settings():
    order = names(rank_nodes(make_settings(EIGHT_NODES), "f1"))
    assert {*order[:4]} == {"n0", "n1", "n2", "n3"} and order == names(
        rank_nodes(make_settings(EIGHT_NODES[::-1]), "f1")
    )
    assert {*names(rank_nodes(make_settings(EIGHT_NODES), "w1"))[:4]} == {"n4", "n5", "n6", "n7"}


@pytest.mark.parametrize("failed", [None, "n0", "n3"])
def test_nodes_serve_equal_shares_of_the_fronts_also_after_one_failed(failed):
    remaining = [node for node in EIGHT_NODES if node.name != failed]
    pairs = [names(best_pair(rank_nodes(make_settings(remaining), front))) for front in FRONTS]
    for position in (0, 1):
        shares = Counter(pair[position] for pair in pairs)
        fair = len(FRONTS) / (4 if failed is None else 3)
        assert all(0.75 * fair < shares[name] < 1.25 * fair for name in names(remaining) if name < "n4")


def test_only_the_fronts_of_a_failed_node_select_another():
    remaining = [node for node in EIGHT_NODES if node.name != "n2"]
    for front in FRONTS:
        before = names(best_pair(rank_nodes(make_settings(EIGHT_NODES), front)))
        if "n2" not in before:
            assert names(best_pair(rank_nodes(make_settings(remaining), front))) == before


def test_the_second_node_is_in_another_zone_if_there_is_one():
    nodes = [node("a1", zone="a"), node("a2", zone="a"), node("b1", "west", "b")]
    assert {selected.zone for selected in best_pair(rank_nodes(make_settings(nodes), "f1"))} == {"a", "b"}
    assert len(best_pair(nodes[:2])) == 2 and names(best_pair(nodes[:1])) == ["a1"] and best_pair([]) == []


def make_selection(count=3):
    nodes = [node(f"n{number}", zone=f"z{number}") for number in range(count)]
    return NodeSelection("f1", nodes)


def test_a_failed_node_is_not_used_during_its_backoff():
    node_selection = make_selection()
    assert names(node_selection.nodes_to_use(0, set())) == ["n0", "n1"]
    node_selection.record_disconnected("n0", 0)
    assert names(node_selection.nodes_to_use(1, set())) == ["n1", "n2"]
    assert FIRST_BACKOFF_NS // 2 <= node_selection.health["n0"].retry_at <= FIRST_BACKOFF_NS
    assert node_selection.next_retry(1) == node_selection.health["n0"].retry_at
    assert names(node_selection.nodes_to_use(FIRST_BACKOFF_NS, {"n1", "n2"})) == ["n0", "n1"]


def test_backoffs_grow_to_a_bound_have_jitter_and_are_reset_by_a_stable_connection():
    node_selection, now, backoffs = make_selection(), 0, []
    for _ in range(40):
        node_selection.record_disconnected("n0", now)
        backoffs.append(node_selection.health["n0"].retry_at - now)
        now = node_selection.health["n0"].retry_at
    assert all(backoff >= FIRST_BACKOFF_NS // 2 for backoff in backoffs) and max(backoffs) <= MAX_BACKOFF_NS
    assert all(backoff >= MAX_BACKOFF_NS // 2 for backoff in backoffs[10:]) and len({*backoffs[10:]}) > 20
    others = [NodeSelection(front, node_selection.preferred) for front in FRONTS]
    for other in others:
        other.record_disconnected("n0", 0)
    assert len({other.health["n0"].retry_at for other in others}) > 300
    node_selection.record_connected("n0", now)
    node_selection.record_disconnected("n0", now + STABLE_AFTER_NS)
    assert node_selection.health["n0"].retry_at - now - STABLE_AFTER_NS <= FIRST_BACKOFF_NS


def test_a_short_connection_does_not_reset_the_backoff():
    node_selection = make_selection()
    for now in range(0, 10 * SECOND_NS, SECOND_NS):
        node_selection.record_connected("n0", now)
        node_selection.record_disconnected("n0", now + 1)
    assert node_selection.health["n0"].retry_at - 9 * SECOND_NS > MAX_BACKOFF_NS // 2


def test_a_server_that_is_no_control_node_gets_a_long_backoff():
    node_selection = make_selection()
    node_selection.record_rejected("n0", 0)
    assert node_selection.health["n0"].retry_at >= REJECTED_BACKOFF_NS // 2
    assert names(node_selection.nodes_to_use(REJECTED_BACKOFF_NS // 2 - 1, set())) == ["n1", "n2"]


def test_a_connection_is_surplus_only_once_the_preferred_nodes_are_current():
    node_selection = make_selection()
    connected = {"n0", "n1", "n2"}
    assert node_selection.surplus(0, connected, {"n1", "n2"}) == set()
    assert node_selection.surplus(0, connected, {"n0", "n1"}) == {"n2"}
    assert node_selection.surplus(0, {"n0", "n1"}, {"n0", "n1"}) == set()


def test_the_primary_is_the_best_current_node_else_the_present_one_else_one_with_a_list():
    nodes = make_selection().preferred
    greeted = {"n0", "n1", "n2"}
    assert next_primary(nodes, None, greeted, set(), set()) is None
    assert next_primary(nodes, None, greeted, {"n2"}, set()) == "n2"
    assert next_primary(nodes, "n2", greeted, greeted, set()) == "n2"
    assert next_primary(nodes, "n2", greeted, greeted, {"n1", "n2"}) == "n1"
    assert next_primary(nodes, "n0", {"n1"}, {"n1"}, set()) == "n1"
    assert next_primary(nodes, "n0", set(), set(), set()) is None


@pytest.mark.parametrize("deadline, bound", [(2600, 1950), (200, 1500), (60_000, 2000)])
def test_a_node_counts_as_silent_well_within_the_purge_deadline(deadline, bound):
    assert silence_timeout(deadline * SECOND_NS // 1000) == bound * SECOND_NS // 1000
