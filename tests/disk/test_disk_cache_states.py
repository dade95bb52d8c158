"""A hypothesis state machine of writes, purges and crashes of a disk cache, checked with faulty caches."""

import pytest
from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from marbleglade.disk import records
from marbleglade.disk.cached_part import CachedPart
from marbleglade.disk.disk_cache import DiskCache
from marbleglade.disk.index import PartId
from marbleglade.disk.steps import Step
from marbleglade.testing.faulty_disk import FaultyFiles, MemoryIndex
from tests.disk.caches import body_of, open_cache, put


class CrashError(Exception):
    pass


class DiskCacheMachine(RuleBasedStateMachine):
    """In any order of events no torn, purged or outdated part is returned."""

    kind = DiskCache
    object_ids, parts = strategies.integers(1, 6), strategies.integers(0, 2)

    @initialize(seed=strategies.integers(0, 10**6))
    def begin(self, seed):
        self.files, self.index = FaultyFiles(seed), MemoryIndex()
        self.purges, self.crash_step, self.versions_of = [], None, {}
        self.cache = self.open()

    def open(self):
        return open_cache(self.files, self.index, self.on_step, load=False, kind=self.kind)

    def on_step(self, step):
        if step == self.crash_step:
            self.crash_step = None
            raise CrashError

    def crash(self):
        self.files.crash()
        self.crash_step = None
        self.cache = self.open()

    @rule(object_id=object_ids, part=parts, size=strategies.integers(1, 9000))
    def put(self, object_id, part, size):
        version = self.versions_of.get(object_id, 1)
        try:
            put(self.cache, object_id, part, version, version * 10, object_id % 3, 3, size)
        except CrashError:
            self.crash()

    @rule(object_id=object_ids)
    def issue_new_version(self, object_id):
        self.versions_of[object_id] = self.versions_of.get(object_id, 1) + 1

    @rule(object_id=object_ids, of_group=strategies.booleans(), versions_back=strategies.integers(0, 2))
    def purge(self, object_id, of_group, versions_back):
        purged_at_ms = max(1, (self.versions_of.get(object_id, 1) - versions_back) * 10)
        try:
            self.cache.purge(0 if of_group else object_id, object_id % 3, purged_at_ms)
        except CrashError:
            self.crash()
            return  # the purge did not return, so it need not apply
        self.purges.append((0 if of_group else object_id, object_id % 3, purged_at_ms))

    @rule(step=strategies.sampled_from(list(Step)))
    def crash_at(self, step):
        self.crash_step = step

    @rule()
    def crash_now(self):
        self.crash_step = None
        self.crash()

    @rule(limit=strategies.integers(1, 4))
    def load(self, limit):
        self.cache.load(limit)

    @rule()
    def checkpoint(self):
        try:
            self.cache.checkpoint()
        except CrashError:
            self.crash()

    @rule(number=strategies.integers(1, 9), offset=strategies.integers(0, 60_000))
    def flip_bit(self, number, offset):
        self.files.flip_bit(number, offset)

    @invariant()
    def returned_parts_are_valid(self):
        for object_id in range(1, 7):
            for part in range(3):
                self.crash_step, crash_step = None, self.crash_step
                found = self.cache.get(object_id, part)
                self.crash_step = crash_step
                if found:
                    version = found.issued_ms // 10
                    assert found.body == body_of(object_id, part, version, len(found.body))
                    assert int(found.tag, 16) == object_id << 20 | version
                    assert not any(
                        found.issued_ms <= purged_at_ms
                        for purged, group, purged_at_ms in self.purges
                        if purged == object_id or (not purged and group == object_id % 3)
                    )


TestDiskCache = DiskCacheMachine.TestCase
TestDiskCache.settings = settings(max_examples=120, stateful_step_count=40, derandomize=True, deadline=None)


class UncheckedRead(DiskCache):
    """A deliberately faulty cache: it returns a body without checking it."""

    def get(self, object_id, part):
        entry = self.entries.get(PartId(object_id, part))
        if entry is None or self.purge_marks.is_purged(object_id, entry.group, entry.issued_ms):
            return None
        body = self.files.read(entry.segment, entry.offset + records.HEADER.size, entry.size)
        return CachedPart(body, f"{entry.tag:016x}", entry.issued_ms, entry.group)


class VolatilePurge(DiskCache):
    """A deliberately faulty cache: `purge` returns before its mark is durable."""

    def purge(self, object_id, group, purged_at_ms, event_number=0):
        marks = self.purge_marks.objects if object_id else self.purge_marks.groups
        marks[object_id or group] = purged_at_ms


@pytest.mark.parametrize("fault", [UncheckedRead, VolatilePurge])
def test_the_state_machine_detects_a_faulty_cache(fault):
    machine = type("Faulty", (DiskCacheMachine,), {"kind": fault})
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=300,
                stateful_step_count=40,
                derandomize=True,
                deadline=None,
                database=None,
                report_multiple_bugs=False,
                print_blob=False,
                phases=[Phase.generate],
            ),
        )
