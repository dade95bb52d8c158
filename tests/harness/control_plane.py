"""Control nodes, as processes or as scripted stand-ins, and a front that is connected to them."""

from __future__ import annotations

import signal
import subprocess
from collections.abc import Callable, Mapping
from pathlib import Path

from marbleglade.testing.control_node import StandInControlNode
from marbleglade.testing.sockets import address_text, free_port
from tests.harness.front_process import FrontProcess
from tests.harness.log_file import LogFile
from tests.harness.programs import POLL_SECONDS, end_process, start_program
from tests.harness.servers import LineServer
from tests.harness.settings import front_configuration
from tests.harness.waiting import wait_until

Address = tuple[str, int]
WAIT_SECONDS = 20  # far longer than any step here takes, even on a busy machine


def free_address() -> Address:
    """A loopback address at which no process listens."""
    return "127.0.0.1", free_port()


def control_settings(
    discovery: Address,
    fronts: str,
    nodes: Mapping[str, tuple[Address, Address]],
    deployment: str = "d",
    more: str = "",
) -> str:
    """The text of the settings file of a control plane.

    Args:
        discovery: The address of the discovery service of the only region.
        fronts: The value of the region's `front` field.
        nodes: The address and the quorum address of each node by name; each node is in its own zone.
        deployment: The name of the deployment.
        more: Further settings.
    """
    lines = [
        f'deployment: "{deployment}" {more}',
        f'region {{ name: "east" discovery: "{address_text(discovery)}" front: "{fronts}" }}',
    ]
    lines += [
        f'node {{ name: "{name}" region: "east" zone: "{name}" address: "{address_text(address)}" '
        f'quorum_address: "{address_text(quorum_address)}" }}'
        for name, (address, quorum_address) in nodes.items()
    ]
    return "\n".join(lines)


class NodeProcesses:
    """Control nodes as processes; each start of a node writes a new log.

    Args:
        folder: The directory of settings and logs.
        optimize: Whether nodes run without assertions, as in production.
    """

    def __init__(self, folder: Path, optimize: bool = True) -> None:
        self.folder, self.optimize = folder, optimize
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.logs: dict[str, list[LogFile]] = {}

    def settings_file(self, name: str) -> Path:
        """The settings file of a node."""
        return self.folder / "control.textproto"

    def arguments(self, name: str) -> list[str]:
        """The command-line arguments that run a node."""
        return ["control", "run", str(self.settings_file(name)), "--name", name]

    def log(self, name: str) -> LogFile:
        """The log of a node's last start."""
        return self.logs[name][-1]

    def start(self, *names: str, environment: dict[str, str] | None = None) -> None:
        """Starts nodes, and returns without waiting for them to be ready."""
        for name in names:
            logs = self.logs.setdefault(name, [])
            logs.append(LogFile(self.folder / f"{name}-{len(logs)}.log"))
            with logs[-1].path.open("wb") as log:
                self.running[name] = start_program(
                    log, *self.arguments(name), environment=environment, optimize=self.optimize
                )

    def send_signal(self, number: int, *names: str) -> None:
        """Sends a signal to nodes."""
        for name in names:
            self.running[name].send_signal(number)

    def stop(self, name: str, seconds: float) -> int:
        """Shuts a node down gracefully, and returns its exit code."""
        process = self.running.pop(name)
        process.terminate()
        try:
            wait_until(lambda: process.poll() is not None, seconds, POLL_SECONDS)
        finally:
            end_process(process)
        return process.returncode

    def kill(self, *names: str) -> None:
        """Kills nodes with SIGKILL."""
        self.send_signal(signal.SIGKILL, *names)
        for name in names:
            end_process(self.running.pop(name))

    def close(self) -> None:
        """Kills all nodes."""
        self.kill(*list(self.running))


class ControlPlane:
    """One front, with a scripted discovery service and control nodes.

    Args:
        folder: The directory of all files.
        node_count: The number of nodes in the settings; each is in its own zone.
        scripted: Whether the nodes are scripted stand-ins in the test process instead of processes.
        discovery_address: The address of another discovery service, which replaces the scripted one.
        settings: Further settings of the control plane.

    Attributes:
        front: The front; `start_front` starts it.
        nodes: The scripted nodes by name.
        processes: The nodes that run as processes; `start_node` starts them.
        discovery: The scripted discovery service.
    """

    def __init__(
        self,
        folder: Path,
        node_count: int = 2,
        scripted: bool = True,
        discovery_address: Address | None = None,
        settings: str = "",
    ) -> None:
        self.discovery = LineServer()
        self.names = [f"c{number}" for number in range(1, node_count + 1)]
        self.nodes = (
            {name: StandInControlNode(name, "d", f"s-{name}") for name in self.names} if scripted else {}
        )
        self.processes = NodeProcesses(folder)
        self.discovery_address = discovery_address or self.discovery.address
        self.settings_file = self.processes.settings_file("")
        addresses = {
            name: (self.nodes[name].address if scripted else free_address(), free_address())
            for name in self.names
        }
        self.settings_file.write_text(
            control_settings(self.discovery_address, "n3", addresses, more=settings)
        )
        environment = {"MARBLEGLADE_CONTROL": str(self.settings_file)}
        self.front = FrontProcess(folder, WAIT_SECONDS, environment)

    def start_front(self, **changes: object) -> None:
        """Starts the front and waits until it is ready; `changes` replaces entries of its configuration."""
        addresses = {
            "listen": address_text(free_address()),
            "coordinator": address_text(self.discovery_address),
        }
        self.front.configure(front_configuration(**addresses, **changes))
        self.front.start()
        self.wait_until(lambda: self.front.events("ready"))

    def start_node(self, name: str) -> None:
        """Starts a node as a process, and waits until it is ready."""
        self.processes.start(name)
        self.wait_until(lambda: self.processes.log(name).events(event="ready"))

    @staticmethod
    def wait_until(condition: Callable[[], object]) -> None:
        """Waits until a condition holds that depends on other processes."""
        wait_until(condition, WAIT_SECONDS, POLL_SECONDS)

    def cache_states(self) -> dict[str, str]:
        """The state of each cache at the front, by the name of the cache."""
        upstreams = self.front.counters_event()["upstreams"]
        return {upstream["upstream"]: upstream["state"] for upstream in upstreams}

    def current_nodes(self) -> set[str]:
        """The names of the nodes that the front reports as current."""
        nodes = self.front.counters_event()["control"]["nodes"]
        return {node["node"] for node in nodes if node["current"]}

    def close(self) -> None:
        """Ends the front, the nodes and the discovery service."""
        self.front.kill()
        self.processes.close()
        for node in self.nodes.values():
            node.close()
        self.discovery.close()
