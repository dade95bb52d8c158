"""An index of the items that a purge applies to. A lookup takes time in proportion to the items found."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)


class PurgeIndex(Generic[Item]):
    """Items by object and by purge group. An item must not be a set.

    Args:
        unknown_group: The group number that stands for "not known": a purge of any group applies to its
            items, too. None if the group of every item is known.
    """

    def __init__(self, unknown_group: int | None = None) -> None:
        self._unknown_group = unknown_group
        self._keys: dict[Item, tuple[int, int]] = {}  # (object id, group) of each item
        # A single item is stored without a set: most objects have only one item, and a set takes much memory.
        self._by_object: dict[int, Item | set[Item]] = {}
        self._by_group: dict[int, Item | set[Item]] = {}

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self._keys)

    def add(self, item: Item, object_id: int, group: int) -> None:
        """Add an item, or move an existing item to this object and group."""
        key = (object_id, group)
        existing = self._keys.get(item)
        if existing == key:
            return
        if existing:
            self.discard(item)
        self._keys[item] = key
        _insert(self._by_object, object_id, item)
        _insert(self._by_group, group, item)

    def discard(self, item: Item) -> None:
        """Remove an item; does nothing if it is not indexed."""
        if key := self._keys.pop(item, None):
            object_id, group = key
            _remove(self._by_object, object_id, item)
            _remove(self._by_group, group, item)

    def matching(self, object_id: int, group: int) -> set[Item]:
        """Return the items that a purge of an object or, if `object_id` is 0, of a group applies to.

        Items of object 0 match every group purge, because no purge can address object 0.
        """
        matches = _items(self._by_object, object_id)
        if not object_id:
            matches |= _items(self._by_group, group)
            if self._unknown_group is not None:
                matches |= _items(self._by_group, self._unknown_group)
        return matches


def _insert(by_number: dict[int, Item | set[Item]], number: int, item: Item) -> None:
    existing = by_number.get(number)
    if existing is None:
        by_number[number] = item
    elif isinstance(existing, set):
        existing.add(item)
    else:
        by_number[number] = {existing, item}


def _remove(by_number: dict[int, Item | set[Item]], number: int, item: Item) -> None:
    existing = by_number[number]
    if isinstance(existing, set):
        existing.remove(item)
    if not isinstance(existing, set) or not existing:
        del by_number[number]


def _items(by_number: dict[int, Item | set[Item]], number: int) -> set[Item]:
    """Return the items stored under a number, as a new set."""
    existing = by_number.get(number)
    if existing is None:
        return set()
    return set(existing) if isinstance(existing, set) else {existing}
