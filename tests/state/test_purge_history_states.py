"""The purge history returns the same purges as a linear scan over all purges."""

from hypothesis.stateful import invariant, rule

from marbleglade.state.purge_history import UNKNOWN_GROUP, PurgeHistory
from tests.harness.units import START_NS
from tests.state.purge_machine import AGES, GROUPS, MACHINE_SETTINGS, OBJECTS, RETENTION, MachineWithClock


class PurgeHistoryMachine(MachineWithClock):
    """Compares lookups in the history with a linear scan over all purges.

    Attributes:
        history: A history with an unknown group, to which every group purge applies.
        exact_history: A history without an unknown group.
        model: Times of notification and of the purge, by ("object", id) or ("group", number).
    """

    def __init__(self):
        super().__init__()
        self.history, self.exact_history = PurgeHistory(RETENTION), PurgeHistory(RETENTION, None)
        self.model = {}

    @rule(object_id=OBJECTS, group=GROUPS, age=AGES)
    def add(self, object_id, group, age):
        purged_at, key = self.now - age, ("object", object_id) if object_id else ("group", group)
        _, latest = self.model.get(key, (0, purged_at))
        self.model[key] = self.now, max(purged_at, latest)
        self.model = {key: record for key, record in self.model.items() if self.now - record[0] <= RETENTION}
        for history in (self.history, self.exact_history):
            history.add(object_id, group, purged_at, self.now)

    def scan(self, object_id, group, unknown_group):
        return [
            record
            for (kind, number), record in self.model.items()
            if (number == object_id if kind == "object" else number == group or group == unknown_group)
        ]

    @rule(object_id=OBJECTS, group=GROUPS, age=AGES)
    def compare_with_scan(self, object_id, group, age):
        since = self.now - age
        for history, unknown_group in ((self.history, UNKNOWN_GROUP), (self.exact_history, None)):
            records = self.scan(object_id, group, unknown_group)
            assert history.latest(object_id, group) == max((purged_at for _, purged_at in records), default=0)
            expected = any(recorded_at > since for recorded_at, _ in records)
            assert history.notified_since(object_id, group, since) == expected
        of_groups = self.scan(0, UNKNOWN_GROUP, UNKNOWN_GROUP)
        assert self.history.latest_of_any_group() == max((purged_at for _, purged_at in of_groups), default=0)

    @invariant()
    def records_are_those_of_the_model(self):
        assert {key: tuple(record) for key, record in self.history.records.items()} == self.model
        assert len(self.history._group_records) <= sum(kind == "group" for kind, _ in self.model)


TestPurgeHistoryMachine = PurgeHistoryMachine.TestCase
TestPurgeHistoryMachine.settings = MACHINE_SETTINGS


def test_too_many_purges_are_merged_into_one_that_applies_to_all_objects():
    history = PurgeHistory(RETENTION, max_records=3)
    for object_id in range(1, 6):
        history.add(object_id, 0, 10 * object_id, START_NS + object_id)
    assert len(history.records) == 3
    assert [history.latest(object_id, 0) for object_id in (1, 2, 3, 5, 99)] == [20, 20, 30, 50, 20]
    assert history.notified_since(99, UNKNOWN_GROUP, START_NS + 1)
    assert not history.notified_since(99, UNKNOWN_GROUP, START_NS + 2)
    history.add(7, 0, 80, START_NS + 5 + RETENTION)
    assert [history.latest(object_id, 0) for object_id in (1, 5, 7)] == [0, 50, 80]
