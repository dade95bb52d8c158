"""Codec of the records in a segment, without I/O.

A record consists of a header of 64 bytes, the body, and zeros up to the next multiple of 8 bytes. Numbers in
the header are little-endian:

    offset  bytes  field
         0      4  magic, "mgdt"
         4      1  format version
         5      1  record kind, 1 for a part of an object
         6      2  purge group
         8      8  object id
        16      4  number of the part in the object
        20      4  size of the body in bytes
        24      8  version tag
        32      8  issue time of the version, Unix time in milliseconds
        40      8  XXH3 checksum of the body
        48      8  serial number of the record
        56      8  XXH3 checksum of the preceding 56 bytes

A scan of a segment ends at the first invalid record.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

# The fields of a header, in the order of the table above.
HEADER = struct.Struct("<4sBBHQIIQQQQQ")
MAGIC = b"mgdt"
FORMAT_VERSION = 1
PART_RECORD = 1
HEADER_CHECKSUM_BYTES = 8
ALIGNMENT_BYTES = 8
MAX_BODY_BYTES = (1 << 24) - 1


@dataclass(frozen=True, slots=True)
class RecordHeader:
    """Header of the record of a part.

    Attributes:
        object_id: Id of the object.
        part: Number of the part in its object.
        group: Purge group of the object.
        tag: Version tag of the object.
        issued_ms: Unix time in milliseconds at which this version was issued.
        size: Size of the body in bytes.
        checksum: XXH3 checksum of the body.
        serial: Serial number of the record, increasing in the order in which a cache writes its records.
    """

    object_id: int
    part: int
    group: int
    tag: int
    issued_ms: int
    size: int
    checksum: int
    serial: int


def record_length(body_size: int) -> int:
    """Return the length in bytes of a record whose body has `body_size` bytes."""
    return HEADER.size + (body_size + ALIGNMENT_BYTES - 1) // ALIGNMENT_BYTES * ALIGNMENT_BYTES


def checksum_of(data: bytes | memoryview) -> int:
    """Return the 64-bit XXH3 checksum of `data`."""
    checksum: int = xxhash.xxh3_64_intdigest(data)
    return checksum


def encode_record(header: RecordHeader, body: bytes) -> bytes:
    """Encode a header and a body as a record, including the padding."""
    data = HEADER.pack(
        MAGIC,
        FORMAT_VERSION,
        PART_RECORD,
        header.group,
        header.object_id,
        header.part,
        header.size,
        header.tag,
        header.issued_ms,
        header.checksum,
        header.serial,
        0,
    )
    checked = data[:-HEADER_CHECKSUM_BYTES]
    checksum = checksum_of(checked).to_bytes(HEADER_CHECKSUM_BYTES, "little")
    padding = bytes(record_length(header.size) - HEADER.size - header.size)
    return checked + checksum + body + padding


def decode_header(data: bytes | memoryview) -> RecordHeader | None:
    """Decode the header at the start of `data`. Return None if there is no valid header."""
    if len(data) < HEADER.size:
        return None
    magic, version, kind, *fields, header_checksum = HEADER.unpack_from(data)
    group, object_id, part, size, tag, issued_ms, checksum, serial = fields
    if (magic, version, kind) != (MAGIC, FORMAT_VERSION, PART_RECORD) or size > MAX_BODY_BYTES:
        return None
    if checksum_of(bytes(data[: HEADER.size - HEADER_CHECKSUM_BYTES])) != header_checksum:
        return None
    return RecordHeader(object_id, part, group, tag, issued_ms, size, checksum, serial)


def decode_body(header: RecordHeader, record: bytes) -> bytes | None:
    """Return the body of a record, or None if it is truncated or fails its checksum."""
    body = record[HEADER.size : HEADER.size + header.size]
    return body if len(body) == header.size and checksum_of(body) == header.checksum else None


def scan_records(data: bytes, start: int = 0) -> Iterator[tuple[int, RecordHeader]]:
    """Yield the offset and the header of each record from `start` on, up to the first invalid record."""
    offset = start
    while header := decode_header(data[offset : offset + HEADER.size]):
        record = data[offset : offset + record_length(header.size)]
        if len(record) < record_length(header.size) or decode_body(header, record) is None:
            return
        yield offset, header
        offset += len(record)
