"""The stored format is stable: the current code reads and writes the store that commit e58eef3 wrote.

`fixtures/store/data.mdb` was written by that commit's `control.store.Store(directory, "shop", "c1")` with
three calls of `write`. The replica was a voter with the founders c1, c2 and c3 (stores aa, bb and cc). The
first call wrote version 1 as accepted and chosen, with ballot (1, 0) promised; the second did the same with
version 2 and ballot (2, 1). The third wrote version 3 as accepted, but not chosen, with ballot (3, 0), and
ballot (4, 2) as promised.
"""

import shutil
from pathlib import Path

import orjson
import pytest

from marbleglade.control.quorum.state import Ballot, DurableState, FoundingMember, Value, Vote
from marbleglade.control.quorum.store import CHECKSUM_BYTES, Store

FIXTURE = Path(__file__).parent / "fixtures" / "store" / "data.mdb"
FIRST = Value(1, "p1", 'deployment: "shop" base_version: 0')
SECOND = Value(2, "p2", "two \u00fc\n")
THIRD = Value(3, "p3", "three")
STORED_STATE = DurableState(
    store_id="aa",
    voter=True,
    founders=(FoundingMember("c1", "aa"), FoundingMember("c2", "bb"), FoundingMember("c3", "cc")),
    promised=Ballot(4, 2),
    accepted=Vote(Ballot(3, 0), THIRD),
    chosen=SECOND,
)


@pytest.fixture
def directory(tmp_path):
    shutil.copy(FIXTURE, tmp_path / "data.mdb")
    return str(tmp_path)


def all_records(store):
    """Returns all keys and values of the store, by database."""
    with store.env.begin() as transaction:
        return {
            name: dict(transaction.cursor(database))
            for name, database in (("records", store.records), ("versions", store.versions))
        }


def test_a_store_written_by_an_earlier_release_is_read(directory):
    store = Store(directory, "shop", "c1")
    assert store.state == STORED_STATE
    versions = [orjson.loads(record[CHECKSUM_BYTES:]) for record in all_records(store)["versions"].values()]
    assert [version["text"] for version in versions] == [FIRST.text, SECOND.text]
    store.close()


def test_the_same_states_are_written_with_the_same_keys_and_values_as_before(directory, tmp_path):
    """The earlier release can therefore read a store that the current code writes."""
    earlier = Store(directory, "shop", "c1")
    current = Store(str(tmp_path / "current"), "shop", "c1")
    for ballot, value in ((Ballot(1, 0), FIRST), (Ballot(2, 1), SECOND)):
        current.write(DurableState("aa", True, STORED_STATE.founders, ballot, Vote(ballot, value), value))
    current.write(STORED_STATE)
    assert all_records(current) == all_records(earlier)
    current.close()
    earlier.close()
