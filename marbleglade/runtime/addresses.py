"""Parsing of network addresses."""

from __future__ import annotations

from functools import lru_cache
from socket import AF_INET, inet_pton

CACHED_ADDRESSES = 1 << 13  # endpoint and peer lists repeat the same addresses


@lru_cache(CACHED_ADDRESSES)
def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port`, where the host is an IPv4 address in dotted decimal notation.

    Raises:
        ValueError: The host is not an IPv4 address, or the port is not an integer from 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    if not 0 < int(port) < 1 << 16:
        raise ValueError(f"expected a port from 1 to 65535 in address {text!r}")
    try:
        inet_pton(AF_INET, host)
    except OSError as error:
        raise ValueError(f"expected an IPv4 address as host in {text!r}") from error
    return host, int(port)
