"""A session rejects acknowledgements of unsent or lower event numbers and of lower versions."""

import pytest

from marbleglade.control.events.event_log import EventLog
from marbleglade.control.events.session import ProtocolError, Session
from marbleglade.control.messages import ConfigurationApplied, ConfigurationRejected, EventsApplied
from tests.control.events.stream_reader import RATE_BYTES_PER_S, log_with_purges, send_all, start_session


@pytest.mark.parametrize(
    ("acknowledged", "kind"), [((12,), "applied_not_sent"), ((9, 8), "applied_back"), ((2,), "applied_back")]
)
def test_acknowledgements_of_unsent_or_lower_numbers_are_rejected(acknowledged, kind):
    log = log_with_purges(10)
    session, reader = start_session(log, 3)
    send_all(session, reader)
    for index in acknowledged[:-1]:
        session.accept_applied(EventsApplied(index))
    with pytest.raises(ProtocolError) as caught:
        session.accept_applied(EventsApplied(acknowledged[-1]))
    assert caught.value.kind == kind


def test_acknowledgements_within_a_snapshot_and_below_it_are_rejected():
    log = log_with_purges(200)
    session, reader = start_session(log)
    reader.read(session.next_batch(0))
    with pytest.raises(ProtocolError) as caught:
        session.accept_applied(EventsApplied(reader.last_index))
    assert caught.value.kind == "applied_in_snapshot"
    send_all(session, reader)
    with pytest.raises(ProtocolError):
        session.accept_applied(EventsApplied(200))
    session.accept_applied(EventsApplied(201))


def test_a_lower_configuration_version_is_rejected():
    session = Session(EventLog("s"), RATE_BYTES_PER_S)
    session.accept_version(ConfigurationApplied(4))
    session.accept_version(ConfigurationRejected(5, "no"))
    with pytest.raises(ProtocolError) as caught:
        session.accept_version(ConfigurationApplied(4))
    assert caught.value.kind == "version_back"
