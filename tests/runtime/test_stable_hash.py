"""The hash with which fronts agree: it is equal in every process and must not change between versions."""

import hashlib

import pytest

from marbleglade.runtime.stable_hash import HASH_LIMIT, stable_hash


def test_a_known_input_has_its_known_hash():
    assert stable_hash(b"7 0 cache-1") == 8426970911365080782


@pytest.mark.parametrize("data", [b"", b"7 0 cache-1", bytes(range(256)) * 5])
def test_the_hash_is_equal_to_blake2b_of_hashlib(data):
    digest = hashlib.blake2b(data, digest_size=8).digest()
    assert stable_hash(data) == int.from_bytes(digest, "big") < HASH_LIMIT
