"""The codec of the line protocol between control nodes, fronts and operators."""

from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marbleglade.control.messages import (
    MAX_CONFIGURATION_BYTES,
    MAX_REASON_CHARACTERS,
    MAX_REQUEST_LINE_BYTES,
    ConfigurationApplied,
    ConfigurationEvent,
    ConfigurationRejected,
    EventsApplied,
    Follow,
    FrontHello,
    FrontLeaving,
    Greeting,
    InvalidLineError,
    LoadReport,
    LoadView,
    PartialViewsQuery,
    StatusQuery,
    decode_request,
    decode_stream_line,
    encode_configuration,
    encode_greeting,
    encode_load_view,
    encode_request,
)
from marbleglade.model.watch_event import EndpointListChange, Heartbeat, Purge

valid_names = st.from_regex(r"[A-Za-z0-9._-]{1,64}", fullmatch=True)
numbers = st.integers(0, 10**18 - 1)
reasons = st.lists(st.from_regex(r"\S{1,8}", fullmatch=True), max_size=5).map(" ".join)
requests = (
    st.builds(FrontHello, valid_names, numbers, valid_names)
    | st.builds(Follow, numbers)
    | st.builds(EventsApplied, numbers)
    | st.builds(ConfigurationApplied, numbers)
    | st.builds(ConfigurationRejected, numbers, reasons)
    | st.just(FrontLeaving())
    | st.just(StatusQuery())
)


@given(requests)
def test_requests_are_decoded_as_they_were_encoded(request):
    line = encode_request(request)
    assert line.endswith(b"\n") and b"\n" not in line[:-1] and decode_request(line) == request


@given(st.binary(max_size=80))
def test_arbitrary_bytes_are_decoded_as_a_request_or_rejected(line):
    with suppress(InvalidLineError):
        assert decode_request(line) is not None


@given(st.binary(max_size=80) | st.text(max_size=80).map(str.encode))
def test_arbitrary_bytes_are_decoded_as_a_stream_line_or_rejected(line):
    with suppress(InvalidLineError):
        assert decode_stream_line(line) is not None


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"front f1 1",
        b"front f1 x -",
        b"front f/1 1 -",
        b"front f1 1 - more",
        b"follow",
        b"follow -1",
        b"follow 1 2",
        b"follow " + b"9" * 19,
        "follow ١".encode(),
        b"applied 1.5",
        b"configured",
        b"refused x reason",
        b"leave now",
        b"status please",
        b"FOLLOW 1",
        b"\xff\xfe",
    ],
)
def test_invalid_request_lines_are_rejected(line):
    with pytest.raises(InvalidLineError):
        decode_request(line)


def test_a_rejection_reason_is_encoded_as_one_line_of_bounded_length():
    line = encode_request(ConfigurationRejected(3, "no\nsuch\tcache " + "x" * 1000))
    assert line.count(b"\n") == 1 and len(line) <= MAX_REQUEST_LINE_BYTES
    assert len(decode_request(line).reason) == MAX_REASON_CHARACTERS


def test_each_kind_of_stream_line_is_decoded_as_its_type():
    assert decode_stream_line(b"17\n") == Heartbeat(17)
    greeting = Greeting("test", "c1", "0123456789abcdef", 9)
    assert decode_stream_line(encode_greeting(greeting)) == greeting
    event = ConfigurationEvent(4, 2, 'text: "\n"')
    assert decode_stream_line(encode_configuration(event)) == event
    assert decode_stream_line(b'{"index":3,"evict":{"shard":2,"unix_ms":5}}') == Purge(3, 0, 2, 5)
    assert decode_stream_line(b'{"index":3,"endpoints":{"full":true,"servers":[]}}') == EndpointListChange(
        3, True, []
    )


@pytest.mark.parametrize(
    "line",
    [
        b"-1",
        b"true",
        b'"x"',
        b"[1]",
        b"{}",
        b'{"index":-1,"evict":{}}',
        b'{"control":{}}',
        b'{"control":{"deployment":"a b","node":"c1","stream":"s","snapshot_to":0}}',
        b'{"control":{"deployment":"a","node":"c1","stream":"s","snapshot_to":-1}}',
        b'{"index":1,"configuration":{"version":0,"text":""}}',
        b'{"index":1,"configuration":{"version":1,"text":7}}',
        b'{"index":0,"configuration":{"version":1,"text":""}}',
        b'{"index":1,"configuration":{"version":1,"text":"' + b"x" * (MAX_CONFIGURATION_BYTES + 1) + b'"}}',
    ],
)
def test_invalid_stream_lines_are_rejected(line):
    with pytest.raises(InvalidLineError):
        decode_stream_line(line)


@given(st.binary(max_size=256))
def test_load_reports_and_load_views_are_decoded_as_they_were_encoded(data):
    assert decode_request(encode_request(LoadReport(data)).strip(b"\n")) == LoadReport(data)
    assert decode_stream_line(encode_load_view(LoadView(data))) == LoadView(data)


def test_the_query_for_partial_views_is_decoded():
    assert decode_request(b"partial-views") == PartialViewsQuery()


@pytest.mark.parametrize("line", [b"report x", b"report =", b"report \xff", b"partial-views now"])
def test_invalid_requests_about_load_views_are_rejected(line):
    with pytest.raises(InvalidLineError):
        decode_request(line)
