"""Parsing of `host:port` addresses with an IPv4 host, as in configurations and endpoint lists."""

from ipaddress import IPv4Address

import pytest
from hypothesis import given, settings, strategies

from marbleglade.runtime.addresses import parse_address

DECIMALS = strategies.sampled_from(
    ["0", "00", "1", "01", "9", "10", "099", "255", "256", "300", " 1", "1\0", "٣", ""]
)
HOSTS = strategies.lists(DECIMALS, min_size=3, max_size=5).map(".".join) | strategies.text(max_size=12)


@pytest.mark.parametrize("text", ["127.0.0.1:4100", "0.0.0.0:1", "255.255.255.255:65535"])
def test_host_and_port_are_parsed(text):
    host, _, port = text.partition(":")
    assert parse_address(text) == (host, int(port))


@pytest.mark.parametrize(
    "text",
    [
        "",
        "127.0.0.1",
        "127.0.0.1:",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:x",
        "localhost:80",
        "::1:80",
    ],
)
def test_an_invalid_address_is_rejected(text):
    with pytest.raises(ValueError):
        parse_address(text)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(HOSTS)
def test_a_host_is_valid_exactly_if_the_standard_library_parses_it_as_an_ipv4_address(host):
    try:
        expected = str(IPv4Address(host)), 80
    except ValueError:
        with pytest.raises(ValueError):
            parse_address(f"{host}:80")
    else:
        assert parse_address(f"{host}:80") == expected
