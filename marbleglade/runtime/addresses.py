"""Addresses as the platform writes them."""

from __future__ import annotations

from functools import lru_cache
from ipaddress import IPv4Address

REMEMBERED = 1 << 13  # addresses: lists of peers and caches tell the same ones again and again


@lru_cache(REMEMBERED)
def address(text: str) -> tuple[str, int]:
    """Reads `host:port` with an IPv4 address. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not 0 < int(port) < 1 << 16:
        raise ValueError(f"no port: {text}")
    return str(IPv4Address(host)), int(port)
