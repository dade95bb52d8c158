"""The targets of purges and the objects that lightweight fronts cache, derived from a seed; no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from functools import cache

from marbleglade.testing.object_store import hashed_fraction

GROUPS = 256  # number of groups in the discovery protocol
HOT_COUNT = 32  # objects that every lightweight front caches
CACHED_AGE_MS = 300  # age of a version when it is cached
GROUP_SHARE = 1 / 8  # share of purges that target a group
HOT_SHARE = 1 / 2  # share of purges that target a hot object
REAL_SHARE = 1 / 4  # share of purges that target an object of the real fronts
KEY_SEED = 7  # seed of the object ids, the same in every run


def _object_id(kind: str, number: int) -> int:
    return (
        int(hashed_fraction(KEY_SEED, kind, number) * 2**31) << 24
        | int(hashed_fraction(KEY_SEED, number, kind) * 2**24)
        or 1
    )


@cache
def directory_key(number: int) -> int:
    """Return the object of the directory entry with that number."""
    return _object_id("entry", number)


def group_of(object_id: int) -> int:
    """Return the group of an object."""
    return object_id >> 8 & (GROUPS - 1)


HOT_OBJECTS = tuple(_object_id("hot", number) for number in range(HOT_COUNT))


@dataclass(frozen=True, slots=True)
class PurgeTarget:
    """An object, or a group if `object` is 0."""

    object: int
    group: int


def purge_target(seed: int, number: int, directory: int, real_objects: Sequence[int] = ()) -> PurgeTarget:
    """Return the target of a purge: a group, a hot object, one of `real_objects`, or a directory entry."""
    draw = hashed_fraction(seed, "kind", number)
    if draw < GROUP_SHARE:
        return PurgeTarget(0, int(hashed_fraction(seed, "group", number) * GROUPS))
    if draw < GROUP_SHARE + HOT_SHARE:
        return PurgeTarget(HOT_OBJECTS[int(hashed_fraction(seed, "hot", number) * HOT_COUNT)], 0)
    if real_objects and draw < GROUP_SHARE + HOT_SHARE + REAL_SHARE:
        return PurgeTarget(real_objects[int(hashed_fraction(seed, "real", number) * len(real_objects))], 0)
    return PurgeTarget(directory_key(int(hashed_fraction(seed, "entry", number) * max(1, directory))), 0)
