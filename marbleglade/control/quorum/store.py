"""Stores the durable state of one quorum replica in lmdb, an embedded database; writes are atomic and synced.

Every record has a checksum. A store is rejected and never repaired if it is corrupt, belongs to another node
or deployment, has another format version or is in use: a replica that loses state unnoticed could violate
the quorum's guarantees. Records are JSON; `codec.py` defines their keys.
"""

from __future__ import annotations

import fcntl
import hashlib
import os
import secrets
from typing import Any

import lmdb
import orjson

from .codec import InvalidMessageError, from_json, to_json
from .state import DurableState, Value, Vote

FORMAT_VERSION = 1
MAP_SIZE_BYTES = 1 << 26  # MAX_VERSIONS documents of maximum length take a sixteenth of it
MAX_VERSIONS = 64  # number of stored versions; the oldest are deleted
CHECKSUM_BYTES = 8  # length of the checksum in front of each record
VERSION_BYTES = 8  # length of a key in the database of versions, a big-endian integer
STORE_ID_BYTES = 8

RECORDS_DATABASE = b"records"
VERSIONS_DATABASE = b"versions"
IDENTITY_KEY = b"identity"
REPLICA_KEY = b"replica"
ACCEPTED_KEY = b"accepted"
# JSON keys of those fields of `DurableState` that are stored in separate records.
ACCEPTED_FIELD = "accepted"
CHOSEN_FIELD = "chosen"


class StoreError(OSError):
    """The store can't be used; the message is one line."""


class LostStateError(StoreError):
    """The store lost an acknowledged state: its replica must not vote."""


class Store:
    """The durable state of one replica, in a directory that is created if it is missing.

    Args:
        directory: The path of the directory; only one process at a time can use it.
        deployment: The name of the deployment.
        node: The name of the control node.

    Attributes:
        state: The state that was last written or loaded.

    Raises:
        StoreError: The store is corrupt, in use, or of another node, deployment or format version, or the
            directory can't be used.
    """

    def __init__(self, directory: str, deployment: str, node: str) -> None:
        self.directory = directory
        self.env: Any = None  # lmdb.Environment while the store is open
        self._identity = {"form": FORMAT_VERSION, "deployment": deployment, "node": node}
        self._rewrite_all = False  # True after a failed write, whose records may not be durable
        try:
            os.makedirs(directory, exist_ok=True)
            self.lock = os.open(os.path.join(directory, "lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise StoreError(f"{directory}: {error.strerror}") from error
        try:
            self._acquire_lock()
            self.state = self._open_and_load()
        except BaseException:
            self.close()
            raise

    def write(self, state: DurableState) -> None:
        """Make a state durable: once this returns, the state survives a power failure.

        Raises:
            StoreError: The write failed; it is unknown whether the state is stored.
        """
        accepted_changed = self._rewrite_all or state.accepted != self.state.accepted
        chosen_changed = self._rewrite_all or state.chosen != self.state.chosen
        try:
            with self.env.begin(write=True) as transaction:
                self._put_replica(transaction, state)
                if accepted_changed:
                    transaction.put(ACCEPTED_KEY, _with_checksum(to_json(state.accepted)), db=self.records)
                if state.chosen.version and chosen_changed:
                    self._put_version(transaction, state.chosen)
        except lmdb.Error as error:
            raise self._store_error(str(error)) from error
        self.state = state
        self._rewrite_all = False

    def reopen(self, attempted: DurableState) -> None:
        """Reopen the store after a failed write; the next write writes all records of the state again.

        A failed write can leave the environment unusable, and pages that can be read but are not durable.

        Args:
            attempted: The state whose write failed; it is unknown whether it is stored.

        Raises:
            StoreError: The store can't be opened at present.
            LostStateError: The store contains neither the attempted state nor the previous one.
        """
        self._close_environment()
        if self._open_and_load() not in (self.state, attempted):
            raise LostStateError(f"{self.directory}: the store has lost an acknowledged state")
        self._rewrite_all = True

    def close(self) -> None:
        """Close the store and release its lock."""
        self._close_environment()
        os.close(self.lock)

    def _acquire_lock(self) -> None:
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise self._store_error("the store is in use by another process") from error

    def _open_and_load(self) -> DurableState:
        try:
            self.env = lmdb.open(self.directory, map_size=MAP_SIZE_BYTES, max_dbs=2, readahead=False)
        except lmdb.Error as error:
            raise self._store_error(f"not a store, or corrupt: {error}") from error
        self._check_size(self.env)
        try:
            self.records = self.env.open_db(RECORDS_DATABASE)
            self.versions = self.env.open_db(VERSIONS_DATABASE)
            return self._load() or self._initialise()
        except lmdb.Error as error:
            raise self._store_error(f"the store is corrupt: {error}") from error

    def _close_environment(self) -> None:
        if self.env is not None:
            self.env.close()
            self.env = None

    def _check_size(self, env: lmdb.Environment) -> None:
        """Reject a truncated file: reading a page beyond its end would kill the process, without an error."""
        needed = (env.info()["last_pgno"] + 1) * env.stat()["psize"]
        size = os.path.getsize(os.path.join(self.directory, "data.mdb"))
        if size < needed:
            raise self._store_error(
                f"the store is corrupt: data.mdb has {size} bytes, expected at least {needed}"
            )

    def _load(self) -> DurableState | None:
        """Return the stored state; None if the store is empty."""
        with self.env.begin() as transaction:
            identity = transaction.get(IDENTITY_KEY, db=self.records)
            if identity is not None:
                self._check_identity(self._decode_record(identity))
                return self._read_state(transaction)
            if transaction.stat(self.records)["entries"] or transaction.stat(self.versions)["entries"]:
                raise self._store_error("the store is corrupt: it has records but no identity record")
        return None

    def _initialise(self) -> DurableState:
        state = DurableState(secrets.token_hex(STORE_ID_BYTES))
        with self.env.begin(write=True) as transaction:
            transaction.put(IDENTITY_KEY, _with_checksum(self._identity), db=self.records)
            self._put_replica(transaction, state)
        return state

    def _check_identity(self, identity: object) -> None:
        for name, expected in self._identity.items():
            stored = identity.get(name) if isinstance(identity, dict) else None
            if stored != expected:
                raise self._store_error(f"the store has {name} {stored!r}, expected {expected!r}")

    def _read_state(self, transaction: lmdb.Transaction) -> DurableState:
        replica = self._decode_record(transaction.get(REPLICA_KEY, db=self.records))
        accepted = transaction.get(ACCEPTED_KEY, db=self.records)
        with transaction.cursor(self.versions) as cursor:
            chosen = cursor.value() if cursor.last() else None
        vote = self._decode_record(accepted) if accepted else to_json(Vote())
        value = self._decode_record(chosen) if chosen else to_json(Value())
        try:
            if not isinstance(replica, dict):
                raise InvalidMessageError("not a JSON object")
            return from_json(DurableState, replica | {ACCEPTED_FIELD: vote, CHOSEN_FIELD: value})
        except InvalidMessageError as error:
            raise self._store_error("the store is corrupt: a record is not valid") from error

    def _decode_record(self, record: bytes | memoryview | None) -> object:
        """Return the JSON content of a record. Raises `StoreError` if it is missing or its checksum wrong."""
        if record is None or _checksum(record[CHECKSUM_BYTES:]) != bytes(record[:CHECKSUM_BYTES]):
            raise self._store_error("the store is corrupt: a record is missing or has a wrong checksum")
        content: object = orjson.loads(record[CHECKSUM_BYTES:])
        return content

    def _put_replica(self, transaction: lmdb.Transaction, state: DurableState) -> None:
        fields = to_json(state)
        del fields[ACCEPTED_FIELD], fields[CHOSEN_FIELD]
        transaction.put(REPLICA_KEY, _with_checksum(fields), db=self.records)

    def _put_version(self, transaction: lmdb.Transaction, value: Value) -> None:
        key = value.version.to_bytes(VERSION_BYTES, "big")
        transaction.put(key, _with_checksum(to_json(value)), db=self.versions)
        with transaction.cursor(self.versions) as cursor:
            while transaction.stat(self.versions)["entries"] > MAX_VERSIONS and cursor.first():
                cursor.delete()

    def _store_error(self, text: str) -> StoreError:
        return StoreError(f"{self.directory}: {' '.join(text.split())}")


def _checksum(data: bytes | memoryview) -> bytes:
    return hashlib.blake2b(data, digest_size=CHECKSUM_BYTES).digest()


def _with_checksum(content: object) -> bytes:
    data: bytes = orjson.dumps(content)
    return _checksum(data) + data
