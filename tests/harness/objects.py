"""Objects for which the policy prefers certain caches, and pages of the smallest size."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from marbleglade.policy.rendezvous import rendezvous_score
from marbleglade.testing.object_store import hashed_fraction


def ranked_caches(object_id: int, names: Iterable[str]) -> list[str]:
    """The caches in the order in which the policy prefers them for an object."""
    return sorted(names, key=lambda name: rendezvous_score(object_id, 0, name.encode()), reverse=True)


def object_with_ranking(*names: str, skip: int = 0) -> int:
    """An object for which the policy prefers the caches in the given order; the first `skip` are left out."""
    found = (id for id in itertools.count(1) if ranked_caches(id, names) == list(names))
    return next(itertools.islice(found, skip, None))


def page_object(seed: int, number: int) -> int:
    """A pseudo-random object id whose lower bits denote a page of the smallest size."""
    return (1 + int(hashed_fraction(seed, "object", number) * 2**30)) << 32


def early_page_object(cache: str, caches: list[str], key_range: float) -> int:
    """A page that prefers `cache`, and is in the key range of this cache early in its slow start."""
    pages = (page_object(0, number) for number in itertools.count())
    return next(
        id
        for id in pages
        if ranked_caches(id, caches)[0] == cache
        and rendezvous_score(id, -1, cache.encode()) < key_range * 2**64
    )
