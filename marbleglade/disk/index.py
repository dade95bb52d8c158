"""What lasts beside the segments: entries, purge marks and the checkpoint, in an embedded store (lmdb).

Each `commit` is atomic and synced. The store is one of form FORM; a newer one is refused.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator

import lmdb

FORM = 1
ENTRY = struct.Struct("<IIIHQQ")  # segment, place, size, group, tag, issued
KEY = struct.Struct(">QI")
MARK = struct.Struct("<Q")


class NewerFormatError(OSError):
    """The place was written by a later program."""


class Index:
    def __init__(self, place: str, most: int = 1 << 32) -> None:
        self.env = lmdb.open(f"{place}/index", map_size=most, max_dbs=3, readahead=False)
        self.entries, self.marks, self.facts = (
            self.env.open_db(name) for name in (b"entries", b"marks", b"facts")
        )
        form = self.fact("form")
        if form > FORM:
            self.env.close()
            raise NewerFormatError(f"{place} has form {form}, and this program knows {FORM}")
        if not form:
            self.commit(facts={"form": FORM})

    def fact(self, name: str) -> int:
        """A number that lasts; 0 where it was never told."""
        with self.env.begin(db=self.facts) as txn:
            value = txn.get(name.encode())
            return int.from_bytes(value, "little") if value else 0

    def get(self, thing: int, part: int) -> tuple[int, int, int, int, int, int] | None:
        """Segment, place, size, group, tag, issued."""
        with self.env.begin(db=self.entries) as txn:
            value = txn.get(KEY.pack(thing, part))
            return ENTRY.unpack(value) if value else None

    def all(
        self, thing: int | None = None, after: tuple[int, int] | None = None
    ) -> Iterator[tuple[int, int, tuple]]:
        """All entries, those behind one, or those of one object: thing, part, and what `get` gives."""
        start = KEY.pack(*after) + b"\0" if after else KEY.pack(thing or 0, 0)
        with self.env.begin(db=self.entries) as txn, txn.cursor() as cursor:
            if not cursor.set_range(start):
                return
            for key, value in cursor:
                one, part = KEY.unpack(key)
                if thing is not None and one != thing:
                    return
                yield one, part, ENTRY.unpack(value)

    def all_marks(self) -> Iterator[tuple[str, int, int]]:
        """Purges: "object" or "group", which, and in what Unix millisecond."""
        with self.env.begin(db=self.marks) as txn, txn.cursor() as cursor:
            for key, value in cursor:
                yield (
                    "object" if key[:1] == b"o" else "group",
                    int.from_bytes(key[1:], "big"),
                    MARK.unpack(value)[0],
                )

    def commit(
        self,
        put: Iterable[tuple[int, int, tuple]] = (),
        drop: Iterable[tuple[int, int]] = (),
        marks: Iterable[tuple[str, int, int]] = (),
        facts: dict[str, int] | None = None,
    ) -> None:
        """All of it or nothing, and synced before this returns."""
        with self.env.begin(write=True) as txn:
            for thing, part in drop:
                txn.delete(KEY.pack(thing, part), db=self.entries)
            for thing, part, entry in put:
                txn.put(KEY.pack(thing, part), ENTRY.pack(*entry), db=self.entries)
            for kind, which, at in marks:
                txn.put(kind[:1].encode() + which.to_bytes(8, "big"), MARK.pack(at), db=self.marks)
            for name, value in (facts or {}).items():
                txn.put(name.encode(), value.to_bytes(8, "little"), db=self.facts)

    def close(self) -> None:
        self.env.close()
