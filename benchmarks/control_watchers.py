"""Watchers of a control node or discovery service in one process that stands in for all fronts.

Arguments: the port on loopback, the number of watchers, and --plain if the port is a discovery service's.
"""

from __future__ import annotations

import argparse
import json
import signal
import subprocess
import sys
import time
from dataclasses import asdict, dataclass

import gevent
import orjson
from gevent import socket
from gevent.fileobject import FileObject

ACKNOWLEDGEMENT_INTERVAL_S = 0.1  # minimum time between two acknowledgements of one watcher
LONGEST_RUN_S = 600.0  # the watchers' process exits after this time
CONNECTIONS_PER_PAUSE = 20  # watchers that connect between two pauses for the other greenlets
READY = b"ready\n"


class WatcherProcessError(RuntimeError):
    """The watchers' process did not start, or ended early."""


class Watcher:
    """One watcher, which behaves like a front: it acknowledges applied events at most every 100 ms.

    Args:
        address: Address of the node or discovery service.
        name: Name of the front.
        plain: Whether it watches a discovery service, which gets no acknowledgements.
        arrivals: Receives the latest arrival of each purge (Unix seconds), by the purge's Unix ms.
    """

    def __init__(self, address: tuple[str, int], name: str, plain: bool, arrivals: dict[int, float]) -> None:
        self.sock = socket.create_connection(address)
        self.plain, self.arrivals = plain, arrivals
        self.bytes_in = self.bytes_out = self.last_index = self.acknowledged_index = 0
        self._acknowledgement_scheduled = False
        hello = b"" if plain else b"front %b %d -\n" % (name.encode(), time.time_ns() // 1_000_000)
        self.sock.sendall(hello + b"follow 0\n")

    def run(self) -> None:
        """Read lines until the connection ends."""
        incomplete_line = b""
        while data := self.sock.recv(1 << 16):
            self.bytes_in += len(data)
            *lines, incomplete_line = (incomplete_line + data).split(b"\n")
            for line in lines:
                self._handle(line)
            is_behind = self.last_index > self.acknowledged_index
            if not self.plain and is_behind and not self._acknowledgement_scheduled:
                self._acknowledgement_scheduled = True
                gevent.spawn_later(ACKNOWLEDGEMENT_INTERVAL_S, self._acknowledge)

    def _handle(self, line: bytes) -> None:
        value = orjson.loads(line)
        if isinstance(value, int) or "index" not in value:
            return
        self.last_index = value["index"]
        if "evict" in value:
            unix_ms = value["evict"]["unix_ms"]
            now = time.time()
            if now > self.arrivals.get(unix_ms, 0.0):
                self.arrivals[unix_ms] = now

    def _acknowledge(self) -> None:
        self._acknowledgement_scheduled, self.acknowledged_index = False, self.last_index
        line = b"applied %d\n" % self.last_index
        self.bytes_out += len(line)
        self.sock.sendall(line)


@dataclass(frozen=True, slots=True)
class WatcherReport:
    """What the watchers have transferred so far; sent to the benchmark as one line of JSON.

    Attributes:
        bytes_in: Bytes received by each watcher.
        bytes_out: Bytes sent by each watcher, without its first lines.
        arrivals: Pairs of the Unix ms of a purge and the Unix seconds of its arrival at the last watcher.
    """

    bytes_in: list[int]
    bytes_out: list[int]
    arrivals: list[tuple[int, float]]


def watch(address: tuple[str, int], count: int, plain: bool) -> None:
    """Run `count` watchers; write a report to standard output at each SIGUSR1."""
    arrivals: dict[int, float] = {}
    watchers: list[Watcher] = []
    for number in range(count):
        watcher = Watcher(address, f"f{number + 1}", plain, arrivals)
        gevent.spawn(watcher.run)
        watchers.append(watcher)
        if not number % CONNECTIONS_PER_PAUSE:
            gevent.sleep(0.02)

    def report() -> None:
        content = WatcherReport(
            [watcher.bytes_in for watcher in watchers],
            [watcher.bytes_out for watcher in watchers],
            list(arrivals.items()),
        )
        print(json.dumps(asdict(content)), flush=True)

    gevent.signal_handler(signal.SIGUSR1, report)
    print(READY.decode(), end="", flush=True)
    gevent.sleep(LONGEST_RUN_S)


class WatcherProcess:
    """The watchers' process, as the benchmark controls it. Raises `WatcherProcessError`.

    Args:
        port: Port of the node or discovery service on loopback.
        count: Number of watchers.
        plain: Whether the watchers watch a discovery service.
    """

    def __init__(self, port: int, count: int, plain: bool) -> None:
        command = [sys.executable, "-O", "-m", "benchmarks.control_watchers", str(port), str(count)]
        command += ["--plain"] if plain else []
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE)
        # Read without blocking the event loop, which serves the watchers of this process's discovery service.
        self._output = FileObject(self._process.stdout, "rb")
        if self._output.readline() != READY:
            self.close()
            raise WatcherProcessError("the watchers' process ended before it printed that it was ready")

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def report(self) -> WatcherReport:
        """Request a report from the process, and return it."""
        self._process.send_signal(signal.SIGUSR1)
        line = self._output.readline()
        if not line:
            raise WatcherProcessError("the watchers' process ended before it printed its report")
        content = orjson.loads(line)
        arrivals = [(unix_ms, arrived_at) for unix_ms, arrived_at in content["arrivals"]]
        return WatcherReport(content["bytes_in"], content["bytes_out"], arrivals)

    def close(self) -> None:
        """Stop the process."""
        self._process.terminate()
        self._process.wait()
        self._output.close()


def main() -> None:
    """Run the watchers from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("port", type=int)
    parser.add_argument("watchers", type=int)
    parser.add_argument("--plain", action="store_true")
    options = parser.parse_args()
    watch(("127.0.0.1", options.port), options.watchers, options.plain)


if __name__ == "__main__":
    main()
