"""The log of records in a disk cache's segments. Only the current segment is appended to."""

from __future__ import annotations

from collections.abc import Callable

from .files import SegmentFiles
from .index import IndexEntry, PartId
from .records import (
    HEADER,
    RecordHeader,
    decode_body,
    decode_header,
    encode_record,
    record_length,
    scan_records,
)


class SegmentLog:
    """The log of records in the segments of one disk cache.

    Args:
        files: The segment files.
        segment_size: Maximum length of a segment in bytes.

    Attributes:
        lengths: Valid bytes of each segment, by segment number. Any data after them is ignored.
        current: Number of the segment to which records are appended.
        end: Length of the current segment in bytes.
        serial: Serial number of the last record. It must be set from the checkpoint before `replay`.
    """

    def __init__(self, files: SegmentFiles, segment_size: int) -> None:
        self.files = files
        self.segment_size = segment_size
        self.lengths: dict[int, int] = {}
        self.current = 0
        self.end = 0
        self.serial = 0

    def replay(self, segment: int, offset: int, on_record: Callable[[int, int, RecordHeader], None]) -> int:
        """Read the records appended after a checkpoint, up to the first invalid record of each segment.

        All attributes are set to the state of the segments read.

        Args:
            segment: Number of the segment that was current at the checkpoint.
            offset: Length of that segment at the checkpoint, in bytes.
            on_record: Callback that is called with the segment, offset and header of each valid record.

        Returns:
            The number of segments that end in an invalid or incomplete record.
        """
        torn_tails = 0
        self.lengths = self.files.lengths()
        for number in sorted(number for number in self.lengths if number >= segment):
            start = offset if number == segment else 0
            data = self.files.read(number, start, self.lengths[number] - start)
            valid_bytes = 0
            for position, header in scan_records(data):
                self.serial = max(self.serial, header.serial)
                on_record(number, start + position, header)
                valid_bytes = position + record_length(header.size)
            if valid_bytes < len(data):
                torn_tails += 1
            self.lengths[number] = start + valid_bytes
            self.current, self.end = number, start + valid_bytes
        if not self.lengths:
            self.current, self.end = segment + 1 if segment else 1, 0
        elif self.current not in self.lengths:
            self.current, self.end = max(*self.lengths, segment) + 1, 0
        return torn_tails

    def has_space(self, body_size: int) -> bool:
        """Return whether a record with a body of this size fits into the current segment."""
        return self.end + record_length(body_size) <= self.segment_size

    def append(self, header: RecordHeader, body: bytes) -> int:
        """Append a record to the current segment without syncing it. Return its offset."""
        offset = self.end
        self.files.write(self.current, offset, encode_record(header, body))
        self.serial = header.serial
        self.end += record_length(header.size)
        self.lengths[self.current] = self.end
        return offset

    def start_next_segment(self) -> None:
        """Start a new segment and make it the current one."""
        self.current, self.end = max([*self.lengths, self.current]) + 1, 0
        self.lengths[self.current] = 0

    def sync(self) -> None:
        """Make the records of the current segment durable."""
        self.files.sync(self.current)

    def read_body(self, part_id: PartId, entry: IndexEntry) -> bytes | None:
        """Read the body of a part. Return None if its record is corrupt or does not match the entry."""
        record = self.files.read(entry.segment, entry.offset, HEADER.size + entry.size)
        header = decode_header(record)
        if header is None:
            return None
        found = (PartId(header.object_id, header.part), header.tag, header.issued_ms)
        if found != (part_id, entry.tag, entry.issued_ms):
            return None
        return decode_body(header, record)

    def read_segment(self, number: int) -> bytes:
        """Read the valid data of a segment, which is all its records."""
        return self.files.read(number, 0, self.lengths[number])

    def remove_segment(self, number: int) -> None:
        """Remove a segment. No entry may refer to it."""
        self.files.remove(number)
        del self.lengths[number]

    def remove_empty_segments(self) -> None:
        """Remove all segments without records except the current one."""
        for number, length in list(self.lengths.items()):
            if not length and number != self.current:
                self.remove_segment(number)
