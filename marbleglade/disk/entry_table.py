"""In-memory table of the cached parts, stored in packed arrays of about 40 bytes per entry."""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import NamedTuple

INITIAL_SLOTS = 1 << 10
SLOT_BYTES = 24
MASK_64 = (1 << 64) - 1
MASK_32 = (1 << 32) - 1
SLOTS_PROBED_PER_SAMPLE = 16  # slots that `sample` probes at most, for each entry to return


def part_key(object_id: int, part: int) -> int:
    """Return the 64-bit table key of a part. It is never 0, which marks an empty slot.

    Two parts may have the same key. The header of the record on disk tells which part is stored.
    """
    mixed = (object_id ^ (part + 1) * 0x9E3779B97F4A7C15) & MASK_64
    mixed = (mixed ^ mixed >> 31) * 0xBF58476D1CE4E5B9 & MASK_64
    return mixed ^ mixed >> 29 or 1


class TableEntry(NamedTuple):
    """One entry of the table: three integers that the table stores without interpreting them."""

    location: int
    packed_size: int
    last_use: int


class EntryTable:
    """A hash table from 64-bit keys to `TableEntry`, with open addressing and linear probing."""

    def __init__(self) -> None:
        self._allocate(INITIAL_SLOTS)

    def _allocate(self, slots: int) -> None:
        self._mask = slots - 1
        self._count = 0
        self._keys = array("Q", bytes(8 * slots))
        self._locations = array("Q", bytes(8 * slots))
        self._sizes = array("I", bytes(4 * slots))
        self._last_uses = array("I", bytes(4 * slots))

    def __len__(self) -> int:
        return self._count

    @property
    def memory_bytes(self) -> int:
        """Memory that the table's arrays take, in bytes."""
        return (self._mask + 1) * SLOT_BYTES

    def _find_slot(self, key: int) -> int:
        slot = key & self._mask
        while self._keys[slot] and self._keys[slot] != key:
            slot = slot + 1 & self._mask
        return slot

    def _entry_at(self, slot: int) -> TableEntry:
        return TableEntry(self._locations[slot], self._sizes[slot], self._last_uses[slot])

    def get(self, key: int) -> TableEntry | None:
        """Return the entry of a key, or None if the key is not in the table."""
        slot = self._find_slot(key)
        return self._entry_at(slot) if self._keys[slot] else None

    def put(self, key: int, location: int, packed_size: int, last_use: int) -> None:
        """Insert or replace an entry. `last_use` is stored modulo 2^32."""
        slot = self._find_slot(key)
        if not self._keys[slot]:
            if (self._count + 1) * 4 > (self._mask + 1) * 3:
                self._grow()
                slot = self._find_slot(key)
            self._count += 1
            self._keys[slot] = key
        self._locations[slot] = location
        self._sizes[slot] = packed_size
        self._last_uses[slot] = last_use & MASK_32

    def touch(self, key: int, last_use: int) -> None:
        """Set the last use of a key's entry. Do nothing if the key is not in the table."""
        slot = self._find_slot(key)
        if self._keys[slot]:
            self._last_uses[slot] = last_use & MASK_32

    def remove(self, key: int) -> bool:
        """Remove the entry of a key. Return whether there was one."""
        slot = self._find_slot(key)
        if not self._keys[slot]:
            return False
        self._count -= 1
        self._close_gap(slot)
        return True

    def _close_gap(self, gap: int) -> None:
        """Free a slot, and move back the entries after it that linear probing displaced past it."""
        slot = gap
        while True:
            slot = slot + 1 & self._mask
            if not self._keys[slot]:
                break
            home_slot = self._keys[slot] & self._mask
            if (slot - home_slot & self._mask) >= (slot - gap & self._mask):
                for column in (self._keys, self._locations, self._sizes, self._last_uses):
                    column[gap] = column[slot]
                gap = slot
        self._keys[gap] = 0

    def _grow(self) -> None:
        entries = list(self)
        self._allocate((self._mask + 1) * 2)
        for key, entry in entries:
            self.put(key, *entry)

    def __iter__(self) -> Iterator[tuple[int, TableEntry]]:
        for slot, key in enumerate(self._keys):
            if key:
                yield key, self._entry_at(slot)

    def sample(self, start: int, limit: int) -> list[tuple[int, TableEntry]]:
        """Return up to `limit` keys and their entries, found by scanning from the slot `start`.

        The caller passes a random `start`, which is taken modulo the number of slots.
        """
        sampled: list[tuple[int, TableEntry]] = []
        slot = start & self._mask
        for _ in range(min(self._mask + 1, SLOTS_PROBED_PER_SAMPLE * limit)):
            if self._keys[slot]:
                sampled.append((self._keys[slot], self._entry_at(slot)))
                if len(sampled) == limit:
                    break
            slot = slot + 1 & self._mask
        return sampled
