"""The effect of signals on a front, a gateway and a control node, from start-up to exit.

A signal that arrived while a program was exiting had its default action: it killed the process, with exit
code -1, -10 or -15 instead of 0, and cut off unwritten output, so that a supervisor counted a crash. Also, a
gateway in service ended at SIGHUP, and a control node at SIGHUP and SIGUSR1.

The handlers are watchers of the event loop, which restores the default action when it is destroyed, and
Python restores that of its own handlers during finalization. To reproduce the fault, an idle process received
SIGTERM and then a signal every 2 ms until it had ended. Its exit code was -1, -2, -10, -12 or -15 for each
signal, except for SIGTERM at gateways and control nodes and SIGUSR1 at gateways, which passed by chance.
"""

import signal

import gevent
import pytest

from tests.harness.idle_programs import (
    EXIT_SECONDS,
    SIGNAL_PERIOD_SECONDS,
    Program,
    control_node,
    front,
    gateway,
)
from tests.harness.log_file import broken_rules
from tests.harness.waiting import START_TIMEOUT_SECONDS, wait_until

OTHER_SIGNALS = [signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2]
EXIT_SIGNALS = [signal.SIGTERM, signal.SIGINT]


@pytest.fixture(params=[front, gateway, control_node], ids=lambda start: start.__name__)
def program(request, tmp_path):
    """A front, a gateway or a control node, which may still be starting."""
    with request.param(tmp_path) as started:
        yield started


def wait_until_ready(program: Program) -> None:
    wait_until(lambda: program.is_ready, START_TIMEOUT_SECONDS, 0.01)


@pytest.mark.parametrize("number", OTHER_SIGNALS)
def test_a_signal_in_service_ends_no_program(program, number):
    wait_until_ready(program)
    for _ in range(20):
        program.process.send_signal(number)
        gevent.sleep(SIGNAL_PERIOD_SECONDS)
    gevent.sleep(0.2)
    assert program.process.poll() is None
    program.process.send_signal(signal.SIGTERM)
    assert program.wait_for_exit() == 0


@pytest.mark.parametrize("number", [*OTHER_SIGNALS, *EXIT_SIGNALS])
def test_a_signal_while_a_program_ends_changes_neither_its_exit_code_nor_its_log(program, number):
    wait_until_ready(program)
    program.process.send_signal(signal.SIGTERM)
    program.send_until(number, lambda: False, EXIT_SECONDS)
    assert program.wait_for_exit() == 0
    last = program.log.events()[-1]
    assert last["event"] in ("counters", "stopped")
    assert not broken_rules(last["counts"])


@pytest.mark.parametrize("number", OTHER_SIGNALS)
def test_a_signal_while_a_program_starts_does_not_end_it(program, number):
    wait_until(lambda: program.has_handler(number), START_TIMEOUT_SECONDS, 0)  # Python takes 20 ms to load
    assert not program.is_ready
    program.send_until(number, lambda: program.is_ready, START_TIMEOUT_SECONDS)
    assert program.process.poll() is None
    program.process.send_signal(signal.SIGTERM)
    assert program.wait_for_exit() == 0


@pytest.mark.parametrize("number", EXIT_SIGNALS)
def test_either_exit_signal_ends_a_program_gracefully(program, number):
    wait_until_ready(program)
    program.process.send_signal(number)
    assert program.wait_for_exit() == 0
    assert program.log.events()[-1]["event"] in ("counters", "stopped")
