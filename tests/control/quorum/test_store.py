"""The store of a quorum replica: written states are read back, and unusable stores are rejected."""

from pathlib import Path

import pytest

from marbleglade.control.quorum.state import Ballot, DurableState, FoundingMember, Value, Vote
from marbleglade.control.quorum.store import MAX_VERSIONS, Store, StoreError

LARGE_STATE = DurableState(
    "aa",
    True,
    (FoundingMember("c1", "aa"),),
    Ballot(3, 1),
    Vote(Ballot(2, 0), Value(5, "p5", "text\n" * 9000)),
    Value(4, "p4", "four \u00fc"),
)


def open_store(path, deployment="shop", node="c1"):
    return Store(str(path), deployment, node)


def test_a_new_store_is_empty_and_has_a_unique_id(tmp_path):
    first = open_store(tmp_path / "first")
    second = open_store(tmp_path / "second")
    assert first.state == DurableState(first.state.store_id)
    assert first.state.store_id != second.state.store_id
    first.close()
    reopened = open_store(tmp_path / "first")
    assert reopened.state == first.state
    reopened.close()
    second.close()


def test_a_written_state_is_read_back(tmp_path):
    store = open_store(tmp_path)
    store.write(LARGE_STATE)
    store.close()
    reopened = open_store(tmp_path)
    assert reopened.state == LARGE_STATE
    reopened.close()


def test_the_oldest_versions_are_deleted(tmp_path):
    store = open_store(tmp_path)
    for version in range(1, MAX_VERSIONS + 10):
        store.write(DurableState("aa", chosen=Value(version, "p", "x")))
    with store.env.begin() as transaction:
        assert transaction.stat(store.versions)["entries"] == MAX_VERSIONS
    store.close()


@pytest.mark.parametrize(
    ("deployment", "node", "error_text"),
    [
        ("other", "c1", "deployment 'shop', expected 'other'"),
        ("shop", "c2", "node 'c1', expected 'c2'"),
    ],
)
def test_a_store_of_another_deployment_or_node_is_rejected(tmp_path, deployment, node, error_text):
    open_store(tmp_path).close()
    with pytest.raises(StoreError, match=error_text):
        open_store(tmp_path, deployment, node)
    open_store(tmp_path).close()  # the rejected opening left the store intact


def test_a_store_with_a_newer_format_is_rejected(tmp_path, monkeypatch):
    monkeypatch.setattr("marbleglade.control.quorum.store.FORMAT_VERSION", 2)
    open_store(tmp_path).close()
    monkeypatch.undo()
    with pytest.raises(StoreError, match="form 2"):
        open_store(tmp_path)


def test_a_store_in_use_is_rejected(tmp_path):
    store = open_store(tmp_path)
    with pytest.raises(StoreError, match="in use"):
        open_store(tmp_path)
    store.close()


def truncate(data):
    return data[: len(data) // 2]


def overwrite(data):
    return b"garbage" * (len(data) // 7)


def change_one_byte(data):
    position = data.index(b"four")
    return data[:position] + b"F" + data[position + 1 :]


@pytest.mark.parametrize("damage", [truncate, overwrite, change_one_byte])
def test_a_corrupt_store_is_rejected_with_a_one_line_error_and_not_changed(tmp_path, damage):
    store = open_store(tmp_path)
    store.write(LARGE_STATE)
    store.close()
    file = tmp_path / "data.mdb"
    corrupt = damage(Path(file).read_bytes())
    file.write_bytes(corrupt)
    with pytest.raises(StoreError, match="corrupt") as caught:
        open_store(tmp_path)
    assert "\n" not in str(caught.value)
    assert file.read_bytes()[: len(corrupt)] == corrupt


def test_a_directory_that_cannot_be_created_is_rejected(tmp_path):
    (tmp_path / "file").write_text("")
    with pytest.raises(StoreError):
        open_store(tmp_path / "file" / "store")
