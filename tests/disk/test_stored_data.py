"""Compatibility with stored data: a disk cache written by an earlier version is read completely.

`fixtures/disk_cache_e58eef3` was written by the code of commit e58eef3 (`marbleglade.disk.tier`, imported
from a checkout of that commit) with the calls of `write_fixture` below, some of them after the checkpoint.
Then nine bytes of a torn record were appended to the segment, and the process ended with `os._exit` without
closing the cache. The two lock files are left out, as they contain no data.
"""

import shutil
from pathlib import Path

import pytest

from marbleglade.disk.cached_part import CachedPart
from marbleglade.disk.counters import DiskCacheCounters
from marbleglade.disk.disk_cache import DiskCache
from marbleglade.disk.entry_table import part_key
from marbleglade.disk.files import SegmentFiles
from marbleglade.disk.index import Index, MetadataKey, PurgeMark, PurgeScope
from marbleglade.disk.write_budget import WriteBudget

FIXTURE = Path(__file__).parent / "fixtures" / "disk_cache_e58eef3"
SEGMENT = "segments/0000000002.seg"
TORN_TAIL = b"mgdt torn"

# The parts that must be readable: (object, part) -> (version, issue time in Unix ms, group, body bytes).
STORED_PARTS = {
    (1, 0): (1, 101, 1, 910),
    (1, 1): (1, 101, 1, 911),
    (2, 0): (2, 302, 2, 650),
    (3, 0): (1, 103, 0, 930),
    (3, 1): (1, 103, 0, 931),
    (3, 2): (1, 103, 0, 932),
    (5, 1): (2, 205, 2, 777),
    (6, 0): (1, 300, 0, 500),
    (7, 0): (1, 60, 2, 500),
}


def body_of(object_id, part, version, size):
    return (b"%d %d %d|" % (object_id, part, version) * size)[:size]


def open_cache(directory):
    directory = str(directory)
    cache = DiskCache(
        SegmentFiles(directory), Index(directory, 1 << 20), 1 << 20, WriteBudget(1e15, 1, 3), 1, 1 << 20
    )
    while cache.load():
        pass
    return cache


def write_fixture(directory):
    """Write the contents of the fixture except the torn tail. Return the cache, which is still open."""
    cache = open_cache(directory)

    def put(object_id, part, version, issued_ms, group, size):
        for _ in range(3):
            cache.eviction.record_use(part_key(object_id, part))
        tag = f"{object_id << 20 | version:016x}"
        content = CachedPart(body_of(object_id, part, version, size), tag, issued_ms, group)
        assert cache.put(object_id, part, content, 0)

    for object_id in range(1, 6):
        for part in range(3):
            put(object_id, part, 1, 100 + object_id, object_id % 3, 900 + 10 * object_id + part)
    put(5, 1, 2, 205, 2, 777)  # a new version, so the parts of the older version of object 5 are removed
    cache.purge(4, 0, 104, 41)
    cache.purge(0, 0, 90, 42)
    cache.purge_through(50)
    cache.remove(1, [2])
    cache.checkpoint()
    put(6, 0, 1, 300, 0, 500)  # this and the following parts are in the segment, but not in the index
    put(2, 0, 2, 302, 2, 650)
    put(7, 0, 1, 60, 2, 500)
    return cache


@pytest.fixture
def stored_cache(tmp_path):
    shutil.copytree(FIXTURE, tmp_path / "cache")
    cache = open_cache(tmp_path / "cache")
    yield cache
    cache.close()


def test_every_stored_part_is_read_with_its_metadata(stored_cache):
    for object_id in range(1, 8):
        for part in range(3):
            found = stored_cache.get(object_id, part)
            if (object_id, part) not in STORED_PARTS:
                assert found is None, (object_id, part)
                continue
            version, issued_ms, group, size = STORED_PARTS[object_id, part]
            assert found.body == body_of(object_id, part, version, size)
            assert found.tag == f"{object_id << 20 | version:016x}"
            assert (found.issued_ms, found.group) == (issued_ms, group)
    assert stored_cache.counters == DiskCacheCounters(torn_tails=1, purged=3, recovered=3)


def test_every_stored_purge_mark_is_read_and_applies(stored_cache):
    assert set(stored_cache.index.purge_marks()) == {
        PurgeMark(PurgeScope.GROUP, 0, 90),
        PurgeMark(PurgeScope.OBJECT, 4, 104),
    }
    assert (stored_cache.purge_marks.objects, stored_cache.purge_marks.groups) == ({4: 104}, {0: 90})
    assert stored_cache.purge_marks.purged_through_ms == 50
    assert stored_cache.last_event_number == 42
    for object_id, group, issued_ms, accepted in [
        (4, 1, 104, False),
        (4, 1, 105, True),
        (8, 0, 90, False),
        (8, 0, 91, True),
        (9, 2, 50, False),
        (9, 2, 51, True),
    ]:
        for _ in range(3):
            stored_cache.eviction.record_use(part_key(object_id, 0))
        content = CachedPart(b"body", "00000000000000aa", issued_ms, group)
        assert stored_cache.put(object_id, 0, content, 0) == accepted


def test_the_stored_checkpoint_is_read(stored_cache):
    assert stored_cache.index.metadata(MetadataKey.FORMAT_VERSION) == 1
    assert stored_cache.index.metadata(MetadataKey.PURGED_THROUGH_MS) == 50
    assert stored_cache.index.metadata(MetadataKey.SERIAL) == 19
    assert stored_cache.index.metadata(MetadataKey.LAST_EVENT) == 42
    # The index still has the entries of the 3 purged parts.
    assert len(list(stored_cache.index.entries())) == len(STORED_PARTS) + 3


def test_the_same_calls_write_the_stored_segment_and_index(tmp_path):
    cache = write_fixture(tmp_path)
    assert (tmp_path / SEGMENT).read_bytes() + TORN_TAIL == (FIXTURE / SEGMENT).read_bytes()
    stored_index = Index(str(shutil.copytree(FIXTURE, tmp_path / "stored")), 1 << 20)
    assert list(cache.index.entries()) == list(stored_index.entries())
    assert list(cache.index.purge_marks()) == list(stored_index.purge_marks())
    assert [cache.index.metadata(key) for key in MetadataKey] == [
        stored_index.metadata(key) for key in MetadataKey
    ]
    stored_index.close()
    cache.close()
