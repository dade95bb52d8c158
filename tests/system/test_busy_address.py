"""A gateway or control node whose address is in use at its start, for example by its predecessor.

The program exited at once with status 2 and the line "Address already in use" on standard error, in 4 of 4
runs, and stayed down until it was restarted. A front has retried for 20 s since issue 41, but gateways and
control nodes opened their listeners with their own code, which called bind only once.
"""

import signal

import pytest

from tests.harness.idle_programs import control_node, gateway
from tests.harness.waiting import START_TIMEOUT_SECONDS, wait_until


@pytest.fixture(params=[gateway, control_node], ids=lambda start: start.__name__)
def program(request, tmp_path):
    """A gateway or a control node, one of whose addresses is in use."""
    with request.param(tmp_path, address_in_use=True) as started:
        yield started


def test_a_program_waits_for_an_address_that_is_in_use_at_its_start(program):
    wait_until(lambda: program.log.events(event="not_listening"), START_TIMEOUT_SECONDS, 0.01)
    assert not program.is_ready and program.process.poll() is None
    program.blocking_socket.close()
    wait_until(lambda: program.is_ready, START_TIMEOUT_SECONDS, 0.01)
    program.process.send_signal(signal.SIGTERM)
    assert program.wait_for_exit() == 0
    assert len(program.log.events(event="not_listening")) == 1


def test_sigterm_ends_a_program_that_waits_for_its_address(program):
    wait_until(lambda: program.log.events(event="not_listening"), START_TIMEOUT_SECONDS, 0.01)
    program.process.send_signal(signal.SIGTERM)
    assert program.wait_for_exit() == 0
