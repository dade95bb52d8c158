"""A hash that is equal in every process, unlike `hash()`, so that fronts agree without sending messages."""

from __future__ import annotations

# hashlib.blake2b is this same function, but importing hashlib also loads OpenSSL, which a front never uses.
from _blake2 import blake2b

HASH_BYTES = 8
HASH_LIMIT = 1 << (8 * HASH_BYTES)  # every hash is below this value


def stable_hash(data: bytes) -> int:
    """Return the 64-bit BLAKE2b hash of the data, below `HASH_LIMIT`."""
    return int.from_bytes(blake2b(data, digest_size=HASH_BYTES).digest())
