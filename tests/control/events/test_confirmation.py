"""The purges that one control node tracks, and the fronts that it counts as missing them."""

import pytest

from marbleglade.control.events.confirmation import ConfirmationTracker, EarlierStartError, UnknownFrontError
from marbleglade.model.watch_event import Purge
from tests.harness.units import SECOND_NS


def add_purges(confirmation, *indexes):
    for index in indexes:
        confirmation.add_purge(index, Purge(index, index, 0, index), SECOND_NS, 1000, True)


def missing_by_purge(confirmation):
    """Return by purge index the set of fronts that miss the purge and did not shut down gracefully."""
    sets = zip(confirmation.purges, confirmation.missing_fronts(), strict=True)
    return {purge.index: fronts & ~confirmation.left_fronts for purge, fronts in sets}


def test_a_front_has_applied_only_the_events_up_to_its_acknowledgement():
    confirmation = ConfirmationTracker(["f1", "f2"])
    add_purges(confirmation, 1, 2, 3)
    assert set(missing_by_purge(confirmation).values()) == {3}, (
        "a front that never connected misses everything"
    )
    confirmation.record_connected("f1", 5, 1, SECOND_NS)
    confirmation.record_applied("f1", 1, 2, 2 * SECOND_NS)
    assert missing_by_purge(confirmation) == {1: 2, 2: 2, 3: 3}
    confirmation.record_applied("f1", 1, 3, 3 * SECOND_NS)
    assert missing_by_purge(confirmation) == {1: 2, 2: 2, 3: 2} and confirmation.latency.total == 3


def test_messages_on_an_earlier_connection_of_a_front_are_ignored():
    confirmation = ConfirmationTracker(["f1"])
    add_purges(confirmation, 1)
    confirmation.record_connected("f1", 5, 1, SECOND_NS)
    confirmation.record_connected("f1", 5, 2, SECOND_NS)
    confirmation.record_applied("f1", 1, 1, SECOND_NS)
    confirmation.record_configured("f1", 1, 1, SECOND_NS)
    confirmation.record_left("f1", 1)
    confirmation.record_disconnected("f1", 1, 9)
    record = confirmation.fronts["f1"]
    assert (
        missing_by_purge(confirmation) == {1: 1} and not record.configuration_version and not record.has_left
    )
    assert record.connection == 2 and not record.sent_index
    with pytest.raises(EarlierStartError):
        confirmation.admit("f1", 4)
    with pytest.raises(UnknownFrontError):
        confirmation.admit("f9", 4)


def test_a_front_that_left_misses_nothing_until_it_reconnects_and_everything_then():
    confirmation = ConfirmationTracker(["f1"])
    add_purges(confirmation, 1)
    confirmation.record_connected("f1", 5, 1, SECOND_NS)
    confirmation.record_applied("f1", 1, 1, SECOND_NS)
    confirmation.record_left("f1", 1)
    add_purges(confirmation, 2)
    assert missing_by_purge(confirmation) == {1: 0, 2: 0}
    confirmation.record_connected("f1", 6, 2, SECOND_NS)
    assert missing_by_purge(confirmation) == {1: 1, 2: 1}


def test_the_number_of_tracked_purges_is_bounded():
    confirmation = ConfirmationTracker(["f1"], max_purges=4)
    add_purges(confirmation, *range(1, 10))
    assert list(missing_by_purge(confirmation)) == [6, 7, 8, 9]
