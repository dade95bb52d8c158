"""The disk cache on a simulated faulty disk: parts returned after crashes, purges and disk faults."""

import pytest

from marbleglade.disk import records
from marbleglade.disk.disk_cache import DiskCache
from marbleglade.testing.faulty_disk import FaultyFiles, MemoryIndex
from marbleglade.testing.object_store import hashed_fraction
from tests.disk.caches import CHECKPOINT_BYTES, body_of, open_cache, put


def issue_times(cache, object_id, parts):
    found = [cache.get(object_id, part) for part in range(parts)]
    return [part and part.issued_ms for part in found]


def test_synced_parts_are_returned_after_a_crash():
    files, index = FaultyFiles(), MemoryIndex()
    cache = open_cache(files, index)
    assert all(put(cache, object_id, 0, 1, 100) for object_id in range(5))
    cache.checkpoint()
    assert put(cache, 9, 0, 1, 100)
    files.crash()
    cache = open_cache(files, index)
    assert all(cache.get(object_id, 0).body == body_of(object_id, 0, 1) for object_id in range(5))
    assert (found := cache.get(9, 0)) is None or found.body == body_of(9, 0, 1)


@pytest.mark.parametrize(
    "object_id, group, purged_at_ms, purged",
    [(3, 0, 100, True), (3, 0, 99, False), (0, 1, 100, True), (0, 2, 500, False), (4, 0, 500, False)],
)
@pytest.mark.parametrize("when", ["before", "while recovering", "after"])
def test_a_purge_applies_before_during_and_after_recovery(object_id, group, purged_at_ms, purged, when):
    files, index = FaultyFiles(), MemoryIndex()
    cache = open_cache(files, index)
    put(cache, 3, 0, 1, 100)
    cache.checkpoint()
    if when == "before":
        cache.purge(object_id, group, purged_at_ms, 41)
    files.crash()
    cache = open_cache(files, index, load=False)
    if when == "while recovering":  # no entry is loaded yet
        cache.purge(object_id, group, purged_at_ms, 41)
        cache.purge(object_id, group, purged_at_ms - 50, 42)  # a late older purge has no effect
    while cache.load(1):
        pass
    if when == "after":
        cache.purge(object_id, group, purged_at_ms, 41)
        cache.purge(object_id, group, purged_at_ms, 41)
    assert (cache.get(3, 0) is None) == purged
    assert cache.last_event_number in (41, 42)
    assert not put(cache, 3, 0, 1, 100)  # a late response with a purged version is not cached
    cache.purge_through(100)
    assert cache.get(3, 0) is None


def test_a_part_with_another_tag_removes_the_parts_of_the_older_version():
    files, index = FaultyFiles(), MemoryIndex()
    cache = open_cache(files, index)
    for part in range(4):
        put(cache, 3, part, 1, 100)
    cache.checkpoint()
    assert put(cache, 3, 2, 2, 200)
    assert issue_times(cache, 3, 4) == [None, None, 200, None]
    files.sync(cache.log.current)  # the record of the new part is durable, but its entry is not committed
    files.crash()
    cache = open_cache(files, index)
    assert issue_times(cache, 3, 4) == [None, None, 200, None]


def test_a_part_with_a_flipped_bit_is_not_returned():
    files, index = FaultyFiles(), MemoryIndex()
    cache = open_cache(files, index)
    put(cache, 3, 0, 1, 100)
    cache.checkpoint()
    files.flip_bit(cache.log.current, records.HEADER.size + 77)
    assert cache.get(3, 0) is None and cache.counters.corrupt == 1 and cache.get(3, 0) is None


@pytest.mark.parametrize("fault", ["failing", "full"])
def test_a_disk_fault_raises_and_the_cache_works_after_it_is_repaired(fault):
    files, index = FaultyFiles(), MemoryIndex()
    cache = open_cache(files, index)
    put(cache, 3, 0, 1, 100)
    cache.checkpoint()
    setattr(files, fault, True)
    with pytest.raises(OSError):
        put(cache, 4, 0, 1, 100)
    setattr(files, fault, False)
    assert cache.get(3, 0).body == body_of(3, 0, 1) and cache.get(4, 0) is None
    assert put(cache, 4, 0, 1, 100) and cache.get(4, 0).body == body_of(4, 0, 1)


def test_the_cache_stays_within_its_capacity_and_its_write_amplification():
    files, index = FaultyFiles(), MemoryIndex()
    cache = open_cache(files, index, capacity_bytes=400_000)
    for step in range(4000):
        object_id = int(300 ** hashed_fraction(3, step))
        if not cache.get(object_id, step % 3):
            put(cache, object_id, step % 3, 1, 100, uses=1)
    assert cache.eviction.live_bytes <= 400_000 and cache.counters.evicted
    assert cache.budget.amplification <= 3
    assert sum(files.lengths().values()) <= 400_000 * 1.25 + 2 * cache.log.segment_size
    entries = [entry for _, entry in index.entries()] + list(cache.entries.uncommitted.values())
    live_bytes = sum(entry.size for entry in entries)
    assert abs(live_bytes - cache.eviction.live_bytes) <= CHECKPOINT_BYTES


class UnsyncedCommit(DiskCache):
    """A deliberately faulty cache: it commits an entry before its record is durable."""

    def checkpoint(self):
        self._commit()


def test_entries_are_not_committed_before_their_records_are_durable():
    """The order of writes protects parts: if entries are committed first, a crash loses some parts."""
    lost = {}
    for kind in (DiskCache, UnsyncedCommit):
        lost[kind] = 0
        for seed in range(40):
            files, index = FaultyFiles(seed), MemoryIndex()
            cache = open_cache(files, index, kind=kind)
            for object_id in range(6):
                put(cache, object_id, 0, 1, 100)
            cache.checkpoint()
            files.crash()
            cache = open_cache(files, index)
            lost[kind] += sum(cache.get(object_id, 0) is None for object_id in range(6))
    assert lost[DiskCache] == 0 < lost[UnsyncedCommit]
