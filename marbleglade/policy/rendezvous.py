"""Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1996).

All fronts compute the same order without exchanging messages.
"""

from __future__ import annotations

from functools import lru_cache

from ..model.upstream import Upstream
from ..runtime.stable_hash import stable_hash

SCORE_CACHE_SIZE = 1 << 13  # number of memoised scores


@lru_cache(SCORE_CACHE_SIZE)
def rendezvous_score(object_id: int, part: int, name: bytes) -> int:
    """Return the weight of an upstream for a part of an object, below `HASH_LIMIT`; equal at every front."""
    return stable_hash(b"%d %d " % (object_id, part) + name)


def rank_by_rendezvous(upstreams: list[Upstream], object_id: int, part: int) -> list[Upstream]:
    """Return upstreams in descending order of their weight for a part of an object."""
    return sorted(upstreams, key=lambda each: rendezvous_score(object_id, part, each.name), reverse=True)
