"""Idle server processes: a front, a gateway or a control node without any requests."""

import json
import signal
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import gevent
from gevent import socket

from marbleglade.testing.regions import StandInRegions
from marbleglade.testing.sockets import address_text
from tests.harness.control_plane import control_settings, free_address
from tests.harness.log_file import LogFile
from tests.harness.programs import end_process, program_command, start_process
from tests.harness.regions import LINK
from tests.harness.servers import LineServer
from tests.harness.settings import front_configuration
from tests.harness.waiting import wait_until

SIGNAL_PERIOD_SECONDS = 0.002
EXIT_SECONDS = 20  # far longer than the exit of an idle program takes
CLIENTS_PORT = 0  # index of the client port in the ports of a gateway


def occupy_address(address: tuple[str, int]) -> socket.socket:
    """Listens at an address, so that no other process can."""
    sock = socket.socket()
    sock.bind(address)
    sock.listen()
    return sock


class Program:
    """A process of the program with its log.

    Args:
        folder: The directory of the log.
        arguments: The command-line arguments of the program.
        environment: Environment variables of the process in addition to those of the tests.
        ready_event: The log event that shows that the program is in service.

    Attributes:
        blocking_socket: The socket that occupies the address of the program, or None if the address is free.
    """

    def __init__(
        self, folder: Path, arguments: list[str], environment: dict[str, str], ready_event: str
    ) -> None:
        self.log, self.ready_event = LogFile(folder / "program.log"), ready_event
        self.blocking_socket: socket.socket | None = None
        with self.log.path.open("wb") as log:
            self.process = start_process(program_command(*arguments), log, environment)

    @property
    def is_ready(self) -> bool:
        """Whether the log shows that the program is in service."""
        return bool(self.log.events(event=self.ready_event))

    def send_until(self, number: signal.Signals, condition: Callable[[], object], seconds: float) -> None:
        """Sends a signal every 2 ms until a condition holds or the process has ended."""
        deadline = time.monotonic() + seconds
        while not condition() and self.process.poll() is None:
            assert time.monotonic() < deadline
            self.process.send_signal(number)
            gevent.sleep(SIGNAL_PERIOD_SECONDS)

    def has_handler(self, number: signal.Signals) -> bool:
        """Whether the process has a handler for a signal, according to its status in /proc."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        caught = next(line.split()[1] for line in status.splitlines() if line.startswith("SigCgt:"))
        return bool(int(caught, 16) >> (number - 1) & 1)

    def wait_for_exit(self) -> int:
        """Waits until the process has ended, and returns its exit code."""
        wait_until(lambda: self.process.poll() is not None, EXIT_SECONDS)
        return self.process.returncode


@contextmanager
def front(folder: Path) -> Iterator[Program]:
    """Starts a front that has no clients and whose caches are unreachable."""
    discovery, path = LineServer(), folder / "front.json"
    listen_address, discovery_address = map(address_text, (free_address(), discovery.address))
    path.write_text(json.dumps(front_configuration(listen=listen_address, coordinator=discovery_address)))
    program = Program(folder, [], {"GW_CONFIG": str(path)}, "ready")
    yield program
    end_process(program.process)
    discovery.close()


@contextmanager
def gateway(folder: Path, address_in_use: bool = False) -> Iterator[Program]:
    """Starts a gateway without a running peer region; its client address may be in use already."""
    regions = StandInRegions(LINK)
    address = ("127.0.0.1", regions.east.ports["east-1"][CLIENTS_PORT])
    blocking_socket = occupy_address(address) if address_in_use else None
    path = folder / "two_regions.textproto"
    path.write_text(regions.deployment_text())
    program = Program(folder, ["gateway", "--deployment", str(path), "--name", "east-1"], {}, "ready")
    program.blocking_socket = blocking_socket
    yield program
    end_process(program.process)
    regions.close()


@contextmanager
def control_node(folder: Path, address_in_use: bool = False) -> Iterator[Program]:
    """Starts a control node whose discovery service sends nothing; its address may be in use already."""
    discovery, path = LineServer(), folder / "control.textproto"
    address = free_address()
    blocking_socket = occupy_address(address) if address_in_use else None
    path.write_text(control_settings(discovery.address, "n1", {"c1": (address, free_address())}))
    program = Program(folder, ["control", "run", str(path), "--name", "c1"], {}, "listening")
    program.blocking_socket = blocking_socket
    yield program
    end_process(program.process)
    discovery.close()
