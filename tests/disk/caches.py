"""Small disk caches with an unlimited write budget, and parts whose content is derived from their ids."""

from marbleglade.disk.cached_part import CachedPart
from marbleglade.disk.disk_cache import DiskCache
from marbleglade.disk.entry_table import part_key
from marbleglade.disk.steps import ignore_step
from marbleglade.disk.write_budget import WriteBudget

UNLIMITED_BYTES_PER_S = 10**15
CACHE_BYTES = 60_000
CHECKPOINT_BYTES = 20_000


def unlimited_budget():
    return WriteBudget(UNLIMITED_BYTES_PER_S, 1, 3)


def body_of(object_id, part, version, size=3000):
    return (b"%d %d %d|" % (object_id, part, version) * size)[:size]


def open_cache(files, index, on_step=ignore_step, capacity_bytes=CACHE_BYTES, load=True, kind=DiskCache):
    cache = kind(files, index, capacity_bytes, unlimited_budget(), 1, CHECKPOINT_BYTES, on_step)
    while load and cache.load(3):
        pass
    return cache


def put(cache, object_id, part, version, issued_ms, group=1, uses=3, size=3000):
    for _ in range(uses):
        cache.eviction.record_use(part_key(object_id, part))
    tag = f"{object_id << 20 | version:016x}"
    body = body_of(object_id, part, version, size)
    return cache.put(object_id, part, CachedPart(body, tag, issued_ms, group), 0)
