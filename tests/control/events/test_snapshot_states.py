"""A snapshot with the events after it gives the same state as all events, for generated events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from marbleglade.control.events.event_log import EventLog
from marbleglade.control.events.session import SECOND_NS, Session
from marbleglade.control.messages import decode_stream_line
from marbleglade.model.upstream import UpstreamState
from marbleglade.model.watch_event import NEVER, EndpointListChange, Purge
from tests.control.events.stream_reader import RATE_BYTES_PER_S, Reader, endpoint, send_all, start_session

purges = st.builds(
    Purge, st.just(0), st.integers(0, 5), st.integers(0, 3), st.integers(1, 50) | st.just(NEVER)
)
changes = st.builds(
    EndpointListChange,
    st.just(0),
    st.booleans(),
    st.lists(
        st.builds(
            endpoint,
            st.sampled_from("abc"),
            st.sampled_from([UpstreamState.ACTIVE, UpstreamState.DRAINING, UpstreamState.REMOVED]),
        )
    ),
    st.lists(st.sampled_from("abc"), max_size=1),
)
events = st.lists(purges | changes | st.integers(1, 9), max_size=40)


def append(log, event):
    if isinstance(event, Purge):
        log.append_purge(event)
    elif isinstance(event, EndpointListChange):
        log.append_list(event)
    else:
        log.append_configuration(event, str(event))


@settings(max_examples=200, deadline=None)
@given(events, events, events, st.integers(0, 40), st.booleans())
def test_a_snapshot_and_deltas_give_the_same_state_as_all_events(before, during, after, received, resumed):
    """Events occur before the snapshot, while it is sent, and after it."""
    log = EventLog("s")
    full_reader, full_session = Reader(), Session(log, RATE_BYTES_PER_S)
    full_session.resume_after(0)
    for event in before:
        append(log, event)
    session, reader = start_session(
        log, min(received, log.last_index) if resumed else None, rate_bytes_per_s=100
    )
    if resumed:  # the front already has the state up to this event
        for entry in log.events_after(0, 1 << 20)[: min(received, log.last_index)]:
            reader._apply(decode_stream_line(entry.line))
    now = 0
    for event in during:
        if batch := session.next_batch(now):
            session.record_written(batch, len(batch))
            reader.read(batch)
        append(log, event)
        now += SECOND_NS // 10
    send_all(session, reader, now)
    for event in after:
        append(log, event)
    send_all(session, reader, now)
    send_all(full_session, full_reader)
    assert reader.last_index == full_reader.last_index == log.last_index
    assert reader.state == full_reader.state
    assert reader.endpoints.unreadable.keys() == full_reader.endpoints.unreadable.keys()
