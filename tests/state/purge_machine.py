"""Shared by the state machine tests of purges: strategies, clock, and the rule of what a purge matches."""

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, rule

from marbleglade.state.local_cache import PURGE_TOLERANCE
from marbleglade.state.purge_history import UNKNOWN_GROUP
from tests.harness.units import NS_PER_MS, START_NS

OBJECTS = strategies.integers(0, 5)
PARTS = strategies.integers(0, 2)
GROUPS = strategies.sampled_from([0, 1, 2, 7, UNKNOWN_GROUP])
STEPS = strategies.sampled_from(
    [0, 1, PURGE_TOLERANCE - 1, PURGE_TOLERANCE, PURGE_TOLERANCE + 1, 40 * NS_PER_MS]
)
AGES = strategies.sampled_from([-1, 0, 1, PURGE_TOLERANCE, 41 * NS_PER_MS, 90 * NS_PER_MS])
RETENTION = 100 * NS_PER_MS
MACHINE_SETTINGS = settings(max_examples=100, stateful_step_count=40, deadline=None, derandomize=True)


def matches_purge(purged_object, purged_group, object_id, group):
    """Return whether a purge of an object or, if that is 0, of a group applies to an object in a group."""
    return object_id == purged_object or (not purged_object and group in (purged_group, UNKNOWN_GROUP))


class MachineWithClock(RuleBasedStateMachine):
    """A state machine whose rules share one clock, ns."""

    def __init__(self):
        super().__init__()
        self.now = START_NS

    @rule(step=STEPS)
    def advance_clock(self, step):
        self.now += step
