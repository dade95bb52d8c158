"""A reader that checks the event stream of a control node, and helpers for logs and sessions, without I/O."""

from marbleglade.control.events.endpoint_table import EndpointTable
from marbleglade.control.events.event_log import EventLog
from marbleglade.control.events.session import Session
from marbleglade.control.messages import ConfigurationEvent, decode_stream_line
from marbleglade.model.upstream import UpstreamState
from marbleglade.model.watch_event import Endpoint, EndpointListChange, Heartbeat, Purge

RATE_BYTES_PER_S = 6144


def endpoint(name, state=UpstreamState.ACTIVE, cell=0):
    return Endpoint(name, ("10.0.0.1", 8080), "zone", "edge", cell, state, 5)


def list_change(*endpoints, complete=False, unreadable=()):
    return EndpointListChange(0, complete, list(endpoints), list(unreadable))


class Reader:
    """Builds the state that results from a stream, as a front does, and checks the event numbers."""

    def __init__(self, last=0, snapshot_to=0):
        self.last_index, self.snapshot_to = (0 if snapshot_to else last), snapshot_to
        self.endpoints, self.purged, self.configuration = EndpointTable(), {}, None
        self.line_count = 0

    def read(self, data):
        for line in data.splitlines():
            event = decode_stream_line(line)
            self.line_count += 1
            if isinstance(event, Heartbeat):
                assert event.index == self.last_index
                continue
            if self.last_index < self.snapshot_to:
                assert self.last_index < event.index <= self.snapshot_to
            else:
                assert event.index == self.last_index + 1
            self.last_index = event.index
            self._apply(event)

    def _apply(self, event):
        if isinstance(event, EndpointListChange):
            self.endpoints.apply(event)
        elif isinstance(event, ConfigurationEvent):
            self.configuration = event.version
        else:
            key = ("object", event.object_id) if event.object_id else ("group", event.group)
            self.purged[key] = max(self.purged.get(key, 0), event.unix_ms)

    def purged_at(self, object_id, group):
        return max(self.purged.get(("object", object_id), 0), self.purged.get(("group", group), 0))

    @property
    def state(self):
        return self.endpoints.endpoints, self.purged, self.configuration


def start_session(log, last=None, rate_bytes_per_s=RATE_BYTES_PER_S):
    """Start a session for a front that has the events up to `last`; return it and a reader."""
    session = Session(log, rate_bytes_per_s)
    return session, Reader(last or 0, session.start_for_front(last))


def send_all(session, reader, now=0):
    """Pass all data of a session to a reader without delay; return the time it takes, in nanoseconds."""
    started_at = now
    while (wait := session.time_until_ready(now)) is not None:
        now += wait
        if batch := session.next_batch(now):
            session.record_written(batch, len(batch))
            reader.read(batch)
    return now - started_at


def log_with_purges(count):
    log = EventLog("s")
    log.append_list(list_change(endpoint("a"), complete=True))
    for number in range(count):
        log.append_purge(Purge(0, number + 1, 0, number + 1))
    return log
