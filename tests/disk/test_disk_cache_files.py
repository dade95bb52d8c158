"""The disk cache on real files: durability, consistency after a SIGKILL, and the `disk` commands."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from marbleglade.disk import records
from marbleglade.disk.files import DirectoryInUseError, SegmentFiles
from marbleglade.disk.index import Index, MetadataKey, NewerFormatError, PartId
from marbleglade.disk.steps import Step
from tests.disk.caches import body_of, open_cache, put


def test_parts_and_purges_are_durable_in_files_and_index(tmp_path):
    cache = open_cache(SegmentFiles(str(tmp_path)), Index(str(tmp_path)))
    for object_id in range(5):
        assert put(cache, object_id, 0, 1, 100)
    cache.purge(4, 0, 100, 9)
    cache.close()
    cache = open_cache(SegmentFiles(str(tmp_path)), Index(str(tmp_path)))
    assert [cache.get(object_id, 0) is not None for object_id in range(5)] == [True] * 4 + [
        False
    ] and cache.last_event_number == 9
    with pytest.raises(DirectoryInUseError, match="used by another"):
        SegmentFiles(str(tmp_path))
    cache.index.commit(metadata={MetadataKey.FORMAT_VERSION: 99})
    cache.close()
    with pytest.raises(NewerFormatError, match="format 99"):
        Index(str(tmp_path))


KILLED_PROCESS_SCRIPT = """
import os, signal, sys
sys.path.insert(0, os.getcwd())
from marbleglade.disk.disk_cache import DiskCache
from marbleglade.disk.files import SegmentFiles
from marbleglade.disk.index import Index
from tests.disk.caches import put, unlimited_budget
directory, kill_step, count = sys.argv[1], sys.argv[2], int(sys.argv[3])
def on_step(step):
    if step == kill_step and (count := globals()["count"] - 1) < 0:
        os.kill(os.getpid(), signal.SIGKILL)
    elif step == kill_step:
        globals()["count"] = count
cache = DiskCache(SegmentFiles(directory), Index(directory), 60_000, unlimited_budget(), 1, 20_000, on_step)
while cache.load():
    pass
output = os.fdopen(1, "w", buffering=1)
for number in range(400):
    object_id, version = number % 23, number // 23 + 1
    put(cache, object_id, number % 3, version, version * 10, object_id % 3)
    if number % 7 == 6:
        cache.purge(object_id, 0, version * 10)
        output.write(f"{object_id} {version * 10}\\n")
"""


@pytest.mark.parametrize("step", list(Step))
def test_the_cache_is_consistent_after_a_kill_at_each_step(tmp_path, step):
    purges = {}
    for count in (0, 2):
        result = subprocess.run(
            [sys.executable, "-c", KILLED_PROCESS_SCRIPT, str(tmp_path), step, str(count)],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=Path(__file__).parents[2],
        )
        assert result.returncode in (0, -9), result.stderr
        for line in result.stdout.splitlines():
            object_id, purged_at_ms = map(int, line.split())
            purges[object_id] = max(purged_at_ms, purges.get(object_id, 0))
        cache = open_cache(SegmentFiles(str(tmp_path)), Index(str(tmp_path)))
        for object_id in range(23):
            for part in range(3):
                if found := cache.get(object_id, part):
                    version = found.issued_ms // 10
                    assert found.body == body_of(object_id, part, version)
                    assert found.issued_ms > purges.get(object_id, 0)
        assert not cache.counters.corrupt
        cache.close()


def disk_command(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "marbleglade", "disk", *arguments], capture_output=True, text=True, timeout=20
    )


def test_the_disk_commands_inspect_and_repair_a_cache(tmp_path):
    cache = open_cache(SegmentFiles(str(tmp_path)), Index(str(tmp_path)))
    for object_id in range(1, 6):
        for part in range(2):
            assert put(cache, object_id, part, 1, 100)
    assert disk_command("check", str(tmp_path)).returncode == 2  # this process has the cache open
    cache.checkpoint()
    entry = cache.entries.get(PartId(3, 1))
    cache.close()
    assert json.loads(disk_command("stats", str(tmp_path), "--json").stdout)["parts"] == 10
    assert len(disk_command("list", str(tmp_path), "--object", f"{2:016x}").stdout.splitlines()) == 2
    assert disk_command("drop", str(tmp_path), f"{2:016x}").stdout == "2 parts dropped\n"
    result = disk_command("check", str(tmp_path))
    assert result.returncode == 0 and result.stdout.startswith("8 parts valid, 0 corrupt")
    segment = tmp_path / "segments" / f"{entry.segment:010d}.seg"
    data = bytearray(segment.read_bytes())
    data[entry.offset + records.HEADER.size + 5] ^= 4
    segment.write_bytes(data)
    result = disk_command("check", str(tmp_path))
    assert result.returncode == 1 and result.stdout.startswith("7 parts valid, 1 corrupt")
    assert disk_command("check", str(tmp_path)).stdout.startswith("7 parts valid, 0 corrupt")
