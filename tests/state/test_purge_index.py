"""The purge index returns the same items as a linear scan over all items."""

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marbleglade.state.purge_history import UNKNOWN_GROUP
from marbleglade.state.purge_index import PurgeIndex
from tests.state.purge_machine import GROUPS, MACHINE_SETTINGS, OBJECTS, matches_purge


class PurgeIndexMachine(RuleBasedStateMachine):
    """Compares lookups in the index with a linear scan over all items.

    Attributes:
        index: An index with an unknown group, to which every group purge applies.
        exact_index: An index without an unknown group.
        items: The object and the group of each item.
    """

    def __init__(self):
        super().__init__()
        self.index, self.exact_index = PurgeIndex(UNKNOWN_GROUP), PurgeIndex()
        self.items = {}

    numbers = strategies.integers(0, 9)

    @rule(item=numbers, object_id=OBJECTS, group=GROUPS)
    def add(self, item, object_id, group):
        self.items[item] = object_id, group
        for index in (self.index, self.exact_index):
            index.add(item, object_id, group)

    @rule(item=numbers)
    def discard(self, item):
        self.items.pop(item, None)
        for index in (self.index, self.exact_index):
            index.discard(item)

    @rule(purged_object=OBJECTS, purged_group=GROUPS)
    def compare_matches(self, purged_object, purged_group):
        expected = {
            item
            for item, (object_id, group) in self.items.items()
            if matches_purge(purged_object, purged_group, object_id, group)
        }
        assert self.index.matching(purged_object, purged_group) == expected
        if purged_group != UNKNOWN_GROUP:
            of_known_group = {item for item in expected if self.items[item][1] != UNKNOWN_GROUP}
            of_the_object = {item for item in expected if self.items[item][0] == purged_object}
            assert self.exact_index.matching(purged_object, purged_group) == of_known_group | of_the_object

    @invariant()
    def nothing_is_left_behind(self):
        assert len(self.index) == len(self.exact_index) == len(self.items)
        assert set(self.index._by_group) == {group for _, group in self.items.values()}
        assert len(self.index._by_object) <= len(self.items)


TestPurgeIndexMachine = PurgeIndexMachine.TestCase
TestPurgeIndexMachine.settings = MACHINE_SETTINGS
