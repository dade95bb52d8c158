"""Segment files of a disk cache, and the lock of its directory.

Every failing operation raises OSError. File contents are not cached in this process.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

SEGMENT_NAME_DIGITS = 10


class DirectoryInUseError(OSError):
    """Raised when another process has locked the directory of the cache."""


class SegmentFiles:
    """The numbered segment files in the directory of one cache, locked against other processes.

    Args:
        directory: Path of the cache's directory, which is created if it is missing.

    Raises:
        DirectoryInUseError: Another process has locked the directory.
        OSError: The directory or its lock file can't be created or opened.
    """

    def __init__(self, directory: str) -> None:
        self.directory = Path(directory)
        self._segments = self.directory / "segments"
        self._segments.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(self.directory / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise DirectoryInUseError(f"cache directory {directory} is used by another process") from error
        self._descriptors: dict[int, int] = {}

    def _path(self, number: int) -> Path:
        return self._segments / f"{number:0{SEGMENT_NAME_DIGITS}d}.seg"

    def _descriptor(self, number: int) -> int:
        if number not in self._descriptors:
            self._descriptors[number] = os.open(self._path(number), os.O_RDWR | os.O_CREAT, 0o600)
        return self._descriptors[number]

    def lengths(self) -> dict[int, int]:
        """Return the length of each segment in bytes, by segment number."""
        return {
            int(path.name[:SEGMENT_NAME_DIGITS]): path.stat().st_size
            for path in self._segments.glob("*.seg")
            if path.name[:SEGMENT_NAME_DIGITS].isdigit()
        }

    def write(self, number: int, offset: int, data: bytes) -> None:
        """Write all of `data` to a segment. The segment is created if it is missing."""
        descriptor = self._descriptor(number)
        written = 0
        while written < len(data):
            written += os.pwrite(descriptor, data[written:], offset + written)

    def sync(self, number: int) -> None:
        """Make the contents and the directory entry of a segment durable."""
        os.fsync(self._descriptor(number))
        directory_descriptor = os.open(self._segments, os.O_RDONLY)
        try:
            os.fsync(directory_descriptor)
        finally:
            os.close(directory_descriptor)

    def read(self, number: int, offset: int, size: int) -> bytes:
        """Read `size` bytes of a segment, or fewer if the segment ends before."""
        chunks = []
        while size > 0 and (data := os.pread(self._descriptor(number), size, offset)):
            chunks.append(data)
            offset += len(data)
            size -= len(data)
        return b"".join(chunks)

    def remove(self, number: int) -> None:
        """Remove a segment. A missing segment is not an error."""
        descriptor = self._descriptors.pop(number, None)
        if descriptor is not None:
            os.close(descriptor)
        self._path(number).unlink(missing_ok=True)

    def close(self) -> None:
        """Close all files and release the lock."""
        for descriptor in self._descriptors.values():
            os.close(descriptor)
        self._descriptors.clear()
        os.close(self._lock)
