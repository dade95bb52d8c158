"""The tier's own door to the file system. Everything that may fail raises OSError; nothing is cached here."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path


class StoreBusyError(OSError):
    """Another process has the place."""


class Files:
    """Segments of one place, by number, and its lock."""

    def __init__(self, place: str) -> None:
        self.place = Path(place)
        self.folder = self.place / "segments"
        self.folder.mkdir(parents=True, exist_ok=True)
        self.lock = os.open(self.place / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as trouble:
            os.close(self.lock)
            raise StoreBusyError(f"{place} is used by another process") from trouble
        self.open: dict[int, int] = {}

    def _path(self, number: int) -> Path:
        return self.folder / f"{number:010d}.seg"

    def _fd(self, number: int) -> int:
        if number not in self.open:
            self.open[number] = os.open(self._path(number), os.O_RDWR | os.O_CREAT, 0o600)
        return self.open[number]

    def list(self) -> dict[int, int]:
        """Each segment's number and length."""
        return {
            int(one.name[:10]): one.stat().st_size
            for one in self.folder.glob("*.seg")
            if one.name[:10].isdigit()
        }

    def write(self, number: int, at: int, data: bytes) -> None:
        fd, sent = self._fd(number), 0
        while sent < len(data):
            sent += os.pwrite(fd, data[sent:], at + sent)

    def sync(self, number: int) -> None:
        """What was written to a segment, and that it is there, lasts from here on."""
        os.fsync(self._fd(number))
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def read(self, number: int, at: int, size: int) -> bytes:
        """Less than `size` where the segment ends before."""
        parts = []
        while size > 0 and (data := os.pread(self._fd(number), size, at)):
            parts.append(data)
            at, size = at + len(data), size - len(data)
        return b"".join(parts)

    def remove(self, number: int) -> None:
        if (fd := self.open.pop(number, None)) is not None:
            os.close(fd)
        self._path(number).unlink(missing_ok=True)

    def close(self) -> None:
        for fd in self.open.values():
            os.close(fd)
        self.open.clear()
        os.close(self.lock)
