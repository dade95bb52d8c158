"""A front without peers, fleet, control nodes and disk cache does not load the modules for them."""

import subprocess
import sys

import pytest

LIST_LOADED_MODULES = "import sys, marbleglade.service.front_process; print(*sys.modules)"
UNUSED = (
    "_hashlib",  # OpenSSL
    "marbleglade.control",
    "marbleglade.disk",
    "marbleglade.fleet",
    "marbleglade.maintenance",
    "marbleglade.protocols.update_datagrams",
    "marbleglade.transport.peer_datagrams",
)


@pytest.fixture(scope="module")
def loaded_modules():
    command = [sys.executable, "-c", LIST_LOADED_MODULES]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout.split()


def test_the_loaded_modules_include_those_that_each_front_needs(loaded_modules):
    assert {"marbleglade.service.wiring", "marbleglade.policy.policy"} <= set(loaded_modules)


@pytest.mark.parametrize("unused", UNUSED)
def test_a_plain_front_does_not_load_modules_that_it_does_not_use(loaded_modules, unused):
    assert [name for name in loaded_modules if name == unused or name.startswith(f"{unused}.")] == []
