"""Finds what a purge means among what is held, at a cost that does not grow with what it does not mean."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)


class PurgeIndex(Generic[Item]):
    """Items by their object and by their group.

    Args:
        unknown_group: the group that stands for "not known": every purge of a group means an item of it, too.
            None if each item's group is known.
    """

    def __init__(self, unknown_group: int | None = None) -> None:
        self._unknown_group = unknown_group
        self._labels: dict[Item, tuple[int, int]] = {}  # object and group under which an item is filed
        self._by_object: dict[int, set[Item]] = {}
        self._by_group: dict[int, set[Item]] = {}

    def __len__(self) -> int:
        return len(self._labels)

    def add(self, item: Item, object: int, group: int) -> None:
        """Files an item; one that is filed already moves to the object and group that are told now."""
        if self._labels.get(item) == (object, group):
            return
        self.discard(item)
        self._labels[item] = object, group
        self._by_object.setdefault(object, set()).add(item)
        self._by_group.setdefault(group, set()).add(item)

    def discard(self, item: Item) -> None:
        """Takes an item out, if it is filed."""
        label = self._labels.pop(item, None)
        if label is None:
            return
        for items_by_number, number in zip((self._by_object, self._by_group), label, strict=True):
            items = items_by_number[number]
            items.remove(item)
            if not items:
                del items_by_number[number]

    def meant(self, object: int, group: int) -> set[Item]:
        """The items that a purge of an object or, where that is 0, of a group means.

        An item of object 0, which no purge can name, belongs to every group.
        """
        found = set(self._by_object.get(object, ()))
        if not object:
            found.update(self._by_group.get(group, ()))
            if self._unknown_group is not None:
                found.update(self._by_group.get(self._unknown_group, ()))
        return found
