"""Purges between regions: each is sent once, and objects whose purge may be missing count as purged."""

from marbleglade.gateway.purge_log import PurgeReceiver, PurgeSender
from marbleglade.state.purge_history import UNKNOWN_GROUP


def sender_with_three_purges():
    sender = PurgeSender(recorded_since_ms=1000, retention_ms=500, max_records=4)
    for number in range(3):
        sender.add(number + 1, 0, 1100 + number, 1100 + number)
    return sender


def synchronized_receiver(sender):
    receiver = PurgeReceiver(3)
    for purge in sender.after(0):
        receiver.add(purge)
    # Nothing was cached before the first synchronization, so no purge can be missing.
    assert receiver.mark_synchronized(sender.complete_since_ms(0), 1200, 5)
    return receiver


def test_a_receiver_is_sent_the_purges_that_it_misses():
    sender = sender_with_three_purges()
    assert [purge.index for purge in sender.after(0)] == [1, 2, 3]
    assert [purge.index for purge in sender.after(2)] == [3]
    assert (sender.complete_since_ms(0), sender.complete_since_ms(2)) == (1000, 0)


def test_an_object_issued_in_the_millisecond_of_its_purge_is_purged():
    receiver = synchronized_receiver(sender_with_three_purges())
    assert receiver.is_purged(1, 9, 1100) and not receiver.is_purged(1, 9, 1101)
    assert not receiver.is_purged(4, 9, 1)


def test_a_confirmation_counts_for_the_given_time():
    receiver = synchronized_receiver(sender_with_three_purges())
    assert receiver.confirmed_within(10, 5) and not receiver.confirmed_within(11, 5)


def test_an_object_whose_purge_may_be_missing_counts_as_purged():
    sender = sender_with_three_purges()
    receiver = synchronized_receiver(sender)
    sender.add(0, 7, 2000, 2000)  # the first three purges exceed the retention time and are removed
    assert sender.complete_since_ms(3) == 0 and sender.complete_since_ms(2) == 1102
    receiver.add(next(sender.after(3)))
    assert receiver.is_purged(4, 7, 2000)
    assert receiver.is_purged(4, UNKNOWN_GROUP, 2000)
    assert not receiver.is_purged(4, 8, 2000)
    assert receiver.mark_synchronized(1102, 2001, 20)
    # Disconnected until 5000: purges before the sending gateway's start at 4000 may be missing.
    assert not receiver.mark_synchronized(4000, 5000, 30)
    assert receiver.is_purged(4, 8, 4000) and not receiver.is_purged(4, 8, 4001)


def test_a_purge_above_the_maximum_number_of_records_still_applies():
    receiver = PurgeReceiver(2)
    sender = PurgeSender(0, 10**9, 100)
    for number in range(5):
        receiver.add(sender.add(number + 1, 0, 100 + number, 100))
    assert len(receiver.by_object) == 2
    assert all(receiver.is_purged(number + 1, 0, 100 + number) for number in range(5))
