"""The checkers of the scale run find each violation, and report none for a correct run."""

import pytest

from benchmarks.scale import topology
from benchmarks.scale.checkers import (
    AppliedIndex,
    Confirmation,
    Disconnection,
    FrontIncarnation,
    IssuedPurge,
    false_confirmations,
    missed_purges,
    purge_latencies_s,
    seconds_after_heal,
    stale_versions,
)
from benchmarks.scale.faults import ALWAYS_IN_QUICK_RUN, FaultKind, plan_faults
from benchmarks.scale.messages.codec import decode, encode
from benchmarks.scale.messages.fronts import AppliedPurge, CachedVersion, HostReport
from benchmarks.scale.summary import BUDGET_LIMITS, Summary, is_within_budget
from benchmarks.scale.topology import REGIONS, lightweight_names, node_addresses, peer_address, settings_text
from benchmarks.scale.workload import HOT_OBJECTS, group_of, purge_target
from marbleglade.control import settings
from marbleglade.control.configuration import document as configuration
from marbleglade.runtime.addresses import parse_address

SECOND = 1_000_000  # microseconds
DEADLINE = 2_600_000  # microseconds
FRONTS = ("a", "b", "c")
OBJECT = HOT_OBJECTS[0]


def purge(number, object_id=OBJECT, group=0):
    """A purge issued at `number` seconds."""
    return IssuedPurge(object_id, group, number * 1000, number * SECOND)


def applied(front, one, after_ms, start_ms=1):
    """The record of a front that applied a purge `after_ms` after its issue."""
    return AppliedPurge(front, start_ms, *one.identity, one.issued_us + after_ms * 1000)


class Run:
    """Three fronts and purges at 10, 11 and 12 s, all applied after 50 ms."""

    def __init__(self):
        self.issued = [purge(10), purge(11, 0, group_of(OBJECT)), purge(12, HOT_OBJECTS[1])]
        self.incarnations = [FrontIncarnation(name, 1, 1000) for name in FRONTS]
        self.applied = [applied(name, one, 50) for name in FRONTS for one in self.issued]

    @property
    def index(self):
        return AppliedIndex(self.applied)

    def drop(self, front, one):
        """Remove the record that this front applied this purge."""
        self.applied = [
            record for record in self.applied if record.front != front or record.unix_ms != one.unix_ms
        ]

    def count_stale(self, cached, confirmed=(), at=20 * SECOND):
        return stale_versions(cached, at, self.issued, list(confirmed), self.incarnations, DEADLINE).count


def test_no_violation_is_found_in_a_correct_run():
    run = Run()
    confirmed = [Confirmation(*one.identity, one.issued_us + SECOND) for one in run.issued]
    cached = [CachedVersion("a", OBJECT, group_of(OBJECT), 11_001)]
    assert missed_purges(run.issued, run.index, run.incarnations).count == 0
    assert false_confirmations(confirmed, run.index, run.incarnations).count == 0
    assert run.count_stale(cached, confirmed) == 0
    assert set(purge_latencies_s(run.issued, run.index, run.incarnations, DEADLINE).values()) == {0.05}


def test_a_purge_that_one_front_never_applied_is_found():
    run = Run()
    run.drop("b", run.issued[1])
    found = missed_purges(run.issued, run.index, run.incarnations)
    assert found.count == 1
    assert "b never applied" in found.notes[0]
    assert run.issued[1].identity not in purge_latencies_s(run.issued, run.index, run.incarnations, DEADLINE)


def test_a_missed_purge_counts_after_a_disconnection_but_not_after_the_end_of_the_front():
    run = Run()
    run.drop("b", run.issued[1])
    run.incarnations[1].disconnections.append(Disconnection(10 * SECOND, 15 * SECOND))
    assert missed_purges(run.issued, run.index, run.incarnations).count == 1
    run.incarnations[1].end_us = 15 * SECOND
    assert missed_purges(run.issued, run.index, run.incarnations).count == 0


def test_the_records_of_an_earlier_incarnation_do_not_count():
    run = Run()
    run.incarnations[2] = FrontIncarnation("c", 5000, 5 * SECOND)
    assert missed_purges(run.issued, run.index, run.incarnations).count == len(run.issued)


def test_the_purge_latency_is_that_of_the_last_connected_front():
    run = Run()
    run.drop("c", run.issued[0])
    run.applied.append(applied("c", run.issued[0], 1900))
    times = purge_latencies_s(run.issued, run.index, run.incarnations, DEADLINE)
    assert times[run.issued[0].identity] == 1.9
    run.incarnations[2].disconnections.append(Disconnection(9 * SECOND, 11 * SECOND))
    times = purge_latencies_s(run.issued, run.index, run.incarnations, DEADLINE)
    assert times[run.issued[0].identity] == 0.05


def test_the_time_after_a_cut_is_that_of_the_slowest_purge_issued_in_it():
    run = Run()
    run.incarnations[0].disconnections.append(Disconnection(9 * SECOND, 13 * SECOND))
    # All purges were applied before the heal.
    assert seconds_after_heal(run.issued, run.index, run.incarnations) == 0
    run.drop("a", run.issued[2])
    assert seconds_after_heal(run.issued, run.index, run.incarnations) is None
    run.applied.append(applied("a", run.issued[2], 1700))
    assert seconds_after_heal(run.issued, run.index, run.incarnations) == 0.7
    run.issued.append(purge(14))  # issued after the heal, while the front may still be reconnecting
    run.applied += [applied(name, run.issued[-1], 900) for name in FRONTS]
    assert seconds_after_heal(run.issued, run.index, run.incarnations) == 0.9


def test_a_version_older_than_a_confirmed_purge_is_stale_at_once():
    run = Run()
    stale = [CachedVersion("a", OBJECT, group_of(OBJECT), 9_999)]
    at = run.issued[0].issued_us + SECOND // 10
    confirmed = [Confirmation(*run.issued[0].identity, at - 1)]
    assert run.count_stale(stale, (), at) == 0  # within the deadline, and not confirmed
    assert run.count_stale(stale, confirmed, at) == 1


def test_a_version_older_than_a_purge_of_its_group_is_stale_after_the_deadline():
    run = Run()
    stale = [CachedVersion("b", OBJECT, group_of(OBJECT), 10_500)]  # newer than the purge of the object alone
    assert run.count_stale(stale, (), 11 * SECOND + DEADLINE - 1) == 0
    assert run.count_stale(stale, (), 11 * SECOND + DEADLINE + 1) == 1
    run.incarnations[1].disconnections.append(Disconnection(10 * SECOND, 30 * SECOND))
    assert run.count_stale(stale) == 0  # the front is cut off, and no purge that it lacks was confirmed
    assert run.count_stale(stale, [Confirmation(*run.issued[1].identity, 12 * SECOND)]) == 1


def test_a_confirmation_before_the_last_front_applied_the_purge_is_false():
    run = Run()
    run.drop("c", run.issued[0])
    run.applied.append(applied("c", run.issued[0], 1900))
    early = Confirmation(*run.issued[0].identity, run.issued[0].issued_us + SECOND)
    late = Confirmation(*run.issued[0].identity, run.issued[0].issued_us + 2 * SECOND)
    assert false_confirmations([late], run.index, run.incarnations).count == 0
    assert false_confirmations([early], run.index, run.incarnations).count == 1


def test_a_confirmation_that_counts_the_record_of_an_earlier_incarnation_is_false():
    run = Run()
    shown = Confirmation(*run.issued[0].identity, 20 * SECOND)
    run.incarnations[1].end_us = 12 * SECOND
    run.incarnations.append(FrontIncarnation("b", 15_000, 16 * SECOND))
    assert false_confirmations([shown], run.index, run.incarnations).count == 1
    run.applied.append(applied("b", run.issued[0], 6000, start_ms=15_000))
    assert false_confirmations([shown], run.index, run.incarnations).count == 0


def test_a_front_started_after_the_confirmation_does_not_make_it_false():
    run = Run()
    shown = Confirmation(*run.issued[0].identity, 20 * SECOND)
    run.incarnations.append(FrontIncarnation("d", 21_000, 21 * SECOND))
    assert false_confirmations([shown], run.index, run.incarnations).count == 0


def test_the_seed_determines_the_purge_targets_which_are_of_all_kinds():
    targets = [purge_target(3, number, 100) for number in range(400)]
    assert targets == [purge_target(3, number, 100) for number in range(400)]
    assert targets != [purge_target(4, number, 100) for number in range(400)]
    groups = sum(not one.object for one in targets)
    hot = sum(one.object in HOT_OBJECTS for one in targets)
    assert 20 < groups < 90 and 140 < hot < 260


def test_a_host_report_is_decoded_as_it_was_encoded():
    records = [applied("a", purge(10), 5)]
    report = HostReport(0.5, 7, 0.1, records, [], [], [CachedVersion("a", OBJECT, 3, 9)], {"exception.x": 1})
    assert decode(encode(report)) == report


def test_the_seed_determines_the_faults_and_a_quick_run_begins_with_the_required_ones():
    every = frozenset(FaultKind)
    assert plan_faults(5, False, every) == plan_faults(5, False, every) != plan_faults(6, False, every)
    assert {fault.kind for fault in plan_faults(5, False, every)} == every
    for seed in range(20):
        assert {fault.kind for fault in plan_faults(seed, True, every)[: len(ALWAYS_IN_QUICK_RUN)]} == set(
            ALWAYS_IN_QUICK_RUN
        )
    assert [fault.kind for fault in plan_faults(5, True, frozenset({FaultKind.CUT_ZONE}))] == [
        FaultKind.CUT_ZONE
    ]


def test_the_settings_of_a_run_are_valid_and_list_every_front_once(tmp_path):
    nodes = node_addresses(8, list(range(9000, 9016)))
    discovery = {region: f"127.0.0.1:{8000 + number}" for number, region in enumerate(REGIONS)}
    path = tmp_path / "control.textproto"
    path.write_text(settings_text(discovery, nodes, 730, ["f0", "f1"]))
    read = settings.read(str(path))
    fronts = [front for region in read.regions for front in region.fronts]
    assert len(fronts) == len(set(fronts)) == 732
    assert set(fronts) == {"f0", "f1", *(name for part in lightweight_names(730).values() for name in part)}
    assert len({(node.region, node.zone) for node in read.nodes}) == 8
    names = lightweight_names(730)
    assert len({peer_address(name) for part in names.values() for name in part}) == 730


def test_the_summary_gives_the_reason_for_a_missing_figure_and_the_broken_rules():
    summary = Summary(lost=0, stale=2, purge_everywhere_s_worst=2.7)
    summary.failures.append("a version is in force at a front that must reject it")
    line = summary.line()
    assert line["doubled"] is None and line["not_measured"]["doubled"] == "not run"
    assert "lost" not in line["not_measured"] and "failures" not in line
    assert summary.broken_rules() == ["stale is 2", "a version is in force at a front that must reject it"]
    verdicts = {budget.field: is_within_budget(budget, summary) for budget in BUDGET_LIMITS}
    assert verdicts["purge_everywhere_s_worst"] is False and verdicts["config_everywhere_s_worst"] is None


@pytest.mark.parametrize("excluded", [[], ["east-1", "east-10"]])
def test_a_document_lists_every_front_at_its_index(tmp_path, excluded):
    """A running front rejects a document that lists it at another index.

    Without placeholders, all fronts after an excluded one would reject the document.
    """
    names = [f"east-{number}" for number in (0, 10, 2, 3, 4, 5, 6, 7, 8, 9, 1, 11)]
    path = tmp_path / "control.textproto"
    ports = list(range(9000, 9006))
    discovery = dict.fromkeys(topology.REGIONS, "127.0.0.1:9100")
    path.write_text(topology.settings_text(discovery, topology.node_addresses(3, ports), 36, []))
    document = configuration.read(
        topology.document_text(0, "east", names, excluded), settings.read(str(path))
    )
    peers = document.region("east").peers
    for name in names:
        before = [parse_address(peer) for peer in topology.peers_up_to(name)]
        index = int(name.rpartition("-")[2])
        assert before[index] == before[-1]
        assert (peers[index] == before[-1]) is (name not in excluded)
