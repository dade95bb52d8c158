"""The record codec: encoding and decoding, and detection of damaged records."""

from marbleglade.disk import records

BODY = (b"7 3 1|" * 500)[:500]
HEADER = records.RecordHeader(7, 3, 17, 0xABC, 1000, 500, records.checksum_of(BODY), 9)
RECORD = records.encode_record(HEADER, BODY)


def test_a_scan_returns_the_encoded_records():
    assert len(RECORD) == records.record_length(500)
    assert list(records.scan_records(RECORD * 3)) == [(n * len(RECORD), HEADER) for n in range(3)]


def test_a_record_that_is_torn_or_has_a_flipped_bit_anywhere_is_invalid():
    for length in range(len(RECORD)):
        assert [offset for offset, _ in records.scan_records(RECORD + RECORD[:length])] == [0]
    for offset in range(records.HEADER.size + 500):
        flipped = bytearray(RECORD)
        flipped[offset] ^= 1 << offset % 8
        assert not list(records.scan_records(bytes(flipped)))
