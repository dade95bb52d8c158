"""The control nodes of a scale run as processes: started, killed, hung and restarted."""

from __future__ import annotations

import ctypes
import signal
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

import gevent
from gevent import socket

from marbleglade.control.settings import ControlSettings, read
from marbleglade.control.status.query import query_all

from .topology import NodeAddresses
from .worker import cpu_of, memory_of

READY_TIMEOUT_S = 30.0  # until all nodes are ready
STATUS_TIMEOUT_S = 2.0  # for one status query
STOP_TIMEOUT_S = 5.0  # for all nodes together, before they are killed
PR_SET_PDEATHSIG = 1  # option of prctl(2)


class ControlPlaneError(Exception):
    """The control nodes did not become ready."""


class ControlPlane:
    """The processes of all control nodes.

    Attributes:
        settings_path: The settings file that fronts and the command line read.
        ended_cpu_s: Processor seconds of each node's processes that have ended.
        down: Names of the nodes that are killed or stopped at present.
    """

    def __init__(self, settings_path: Path, addresses: list[NodeAddresses]) -> None:
        self.folder, self.nodes = settings_path.parent, {node.name: node for node in addresses}
        self.settings_path = settings_path
        self.settings: ControlSettings = read(str(self.settings_path))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.starts: dict[str, int] = dict.fromkeys(self.nodes, 0)
        self.ended_cpu_s: dict[str, float] = dict.fromkeys(self.nodes, 0.0)
        self.down: set[str] = set()
        for name in self.nodes:
            self.start(name)

    @property
    def pids(self) -> list[int]:
        """Process ids of all nodes that were not killed."""
        return [process.pid for process in self.processes.values()]

    def start(self, name: str) -> None:
        """Start a node; its store is the only state that it keeps between starts."""
        self.starts[name] += 1
        store = self.folder / f"store-{name}"
        store.mkdir(exist_ok=True)
        arguments = ["-O", "-m", "marbleglade", "control", "run", str(self.settings_path)]
        with (self.folder / f"{name}.{self.starts[name]}.log").open("wb") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments, "--name", name, "--store", str(store)],
                stdout=log,
                stderr=log,
                preexec_fn=die_with_parent,
            )
        self.down.discard(name)

    def kill(self, name: str) -> None:
        """Kill a node with SIGKILL."""
        process = self.processes.pop(name)
        self.down.add(name)
        self.ended_cpu_s[name] += cpu_of(process.pid)
        process.kill()
        process.wait()

    def hang(self, name: str) -> None:
        """Stop a node with SIGSTOP; its connections stay open."""
        self.down.add(name)
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a stopped node."""
        self.processes[name].send_signal(signal.SIGCONT)
        self.down.discard(name)

    def cpu(self) -> dict[str, float]:
        """Return the processor seconds of each node so far, summed over all its processes."""
        return {
            name: self.ended_cpu_s[name]
            + (cpu_of(self.processes[name].pid) if name in self.processes else 0.0)
            for name in self.nodes
        }

    def memory(self) -> int:
        """Return the resident bytes of the largest node."""
        return max((memory_of(pid) for pid in self.pids), default=0)

    def log_tails(self) -> str:
        """Return the last lines of each node's log."""
        return "\n".join(
            f"{path.name}: {path.read_bytes()[-300:].decode('utf-8', 'replace')}"
            for path in sorted(self.folder.glob("c*.log"))
        )

    def close(self) -> list[str]:
        """Terminate all nodes; return descriptions of failures at shutdown."""
        failures = []
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        end = time.monotonic() + STOP_TIMEOUT_S
        for name, process in self.processes.items():
            while process.poll() is None and time.monotonic() < end:
                gevent.sleep(0.02)
            if process.poll() is None:
                process.kill()
                failures.append(f"{name} did not end after SIGTERM")
            elif process.returncode:
                failures.append(f"{name} ended with exit code {process.returncode}")
            process.wait()
        return failures

    def wait_until_ready(self) -> None:
        """Wait until every node is up to date with its discovery service. Raises `ControlPlaneError`."""
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            answers = query_all(self.settings, STATUS_TIMEOUT_S)
            if all(answer.status and answer.status.current for answer in answers):
                return
            gevent.sleep(0.2)
        raise ControlPlaneError(f"control nodes are not ready; ends of their logs:\n{self.log_tails()}")


class SlowReaders:
    """Connections to control nodes that never read; every second one sends an incomplete line."""

    def __init__(self, nodes: list[NodeAddresses], each: int) -> None:
        self.sockets: list[socket.socket] = []
        for node in nodes:
            for number in range(each):
                with suppress(OSError):
                    sock = socket.create_connection(node.address, 2)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                    sock.sendall(b"follow 0\n" if number % 2 else b"front east-0 17")
                    self.sockets.append(sock)

    def close(self) -> None:
        """Close the connections."""
        for sock in self.sockets:
            sock.close()


def die_with_parent() -> None:
    """Have the kernel kill the calling process when its parent ends in any way; Linux only."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def free_ports(count: int) -> list[int]:
    """Return `count` ports that no process listens on now."""
    socks = []
    try:
        for _ in range(count):
            sock = socket.socket()
            sock.bind(("127.0.0.1", 0))
            socks.append(sock)
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()
