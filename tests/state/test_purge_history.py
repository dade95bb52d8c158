"""The retention of purges in the purge history."""

from marbleglade.state.purge_history import PurgeHistory


def test_purges_are_kept_for_the_retention():
    purges = PurgeHistory(1000)
    purges.add(7, 0, 90, 100)
    purges.add(0, 3, 190, 200)
    assert [purges.notified_since(*query) for query in ((7, 9, 50), (7, 9, 100), (8, 3, 150), (8, 4, 0))] == [
        True,
        False,
        True,
        False,
    ]
    assert [purges.latest(*query) for query in ((7, 3), (7, 9), (8, 3), (8, 4))] == [190, 90, 190, 0]
    purges.add(9, 0, 1140, 1150)
    assert (
        not purges.notified_since(7, 9, 50) and purges.notified_since(8, 3, 150) and len(purges.records) == 2
    )
