"""Splits of byte streams, for tests of decoders."""

# Every byte value, followed by bytes that look like framing of the protocols.
ANY_BYTES = bytes(range(256)) + b"\r\n$3\r\n*1\r\n"


def decode_all_splits(make_decoder, data):
    """Yield the decoded items for each split of the bytes in two parts, and for one byte at a time."""
    for split in range(len(data) + 1):
        decoder = make_decoder()
        yield [*decoder.feed(data[:split]), *decoder.feed(data[split:])]
    decoder = make_decoder()
    yield [item for position in range(len(data)) for item in decoder.feed(data[position : position + 1])]
