"""The local cache: eviction, replacement and purges."""

from marbleglade.state.local_cache import CachedObject, LocalCache
from tests.harness.units import NS_PER_MS


def test_cached_objects_are_bounded_replaced_by_newer_ones_and_purged():
    cache, now = LocalCache(10), 1000 * NS_PER_MS
    for object_id in (1, 2, 3):
        cache.put(object_id, 0, CachedObject(b"xxxx", "", now, object_id % 2), 0)
    assert (cache.get(1, 0), cache.used_bytes) == (None, 8)  # the least recently used object was evicted
    cache.get(2, 0)
    cache.put(3, 0, CachedObject(b"older", "", now - 1, 1), 0)  # older than the cached object
    cache.put(4, 0, CachedObject(b"yy", "", now, 0), now + 5 * NS_PER_MS)  # issued before a purge
    cache.put(5, 0, CachedObject(b"z" * 11, "", now, 0), 0)  # larger than the cache
    assert cache.get(4, 0) is cache.get(5, 0) is None
    cache.put(2, 0, CachedObject(b"x", "t", now + 9 * NS_PER_MS, 0), 0)
    cache.put(3, 1, CachedObject(b"p", "", now, 1), 0)
    assert (cache.get(2, 0).tag, cache.used_bytes) == ("t", 6)
    cache.purge(0, 0, now + 20 * NS_PER_MS)
    assert not cache.get(2, 0) and cache.get(3, 1)
    cache.purge(3, 0, now)
    assert not cache.objects and cache.used_bytes == 0
