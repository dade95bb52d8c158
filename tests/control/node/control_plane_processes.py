"""Control nodes as processes, with a test discovery service, watchers and fronts on loopback."""

from functools import partial

import gevent
from gevent import socket

from marbleglade.control.messages import Greeting, InvalidLineError, decode_stream_line
from marbleglade.control.settings import read
from marbleglade.control.status.query import query_all
from marbleglade.model.watch_event import Heartbeat
from marbleglade.testing.discovery_service import DiscoveryService
from tests.harness import waiting
from tests.harness.control_plane import NodeProcesses, control_settings, free_address
from tests.harness.programs import run_program

WAIT_LIMIT_S = 15  # far longer than any wait in these tests
wait_until = partial(waiting.wait_until, seconds=WAIT_LIMIT_S, interval=0.02)


class Watcher:
    """A connection to a node that records all received lines; with `reading=False` it does not read."""

    def __init__(self, address, *requests, reading=True):
        self.sock = socket.create_connection(address)
        self.lines, self.ended, self.incomplete_line = [], False, b""
        if requests:
            self.send(*requests)
        if reading:
            gevent.spawn(self.read)

    def send(self, *requests):
        self.sock.sendall("".join(f"{request}\n" for request in requests).encode())

    def read(self):
        try:
            while data := self.sock.recv(1 << 16):
                *lines, self.incomplete_line = (self.incomplete_line + data).split(b"\n")
                for line in lines:
                    self.record(line)
        except OSError:
            pass
        self.ended = True

    def record(self, line):
        try:
            self.lines.append(decode_stream_line(line))
        except InvalidLineError:
            self.lines.append(line)

    @property
    def events(self):
        return [line for line in self.lines if not isinstance(line, (Heartbeat, Greeting))]

    @property
    def last_index(self):
        return self.events[-1].index if self.events else 0

    def purged(self, object_id):
        return any(getattr(event, "object_id", 0) == object_id for event in self.events)

    def close(self):
        self.sock.close()


class ControlPlaneProcesses:
    """A deployment on loopback: the discovery service in this process, each node in its own process."""

    def __init__(self, folder, nodes, fronts):
        self.discovery = DiscoveryService()
        self.watchers, self.processes = [], NodeProcesses(folder, optimize=False)
        self.addresses = {f"c{number + 1}": free_address() for number in range(nodes)}
        addresses = {name: (address, free_address()) for name, address in self.addresses.items()}
        self.path = self.processes.settings_file("")
        self.path.write_text(control_settings(self.discovery.address, f"f[1-{fronts}]", addresses, "test"))
        self.settings = read(str(self.path))
        self.discovery.announce_address("box1", ("127.0.0.1", 8000), "edge", full_list=True)

    def start(self, *names):
        self.processes.start(*(names or self.addresses))
        wait_until(
            lambda: all((status := self.status(name)) and status.current for name in self.processes.running)
        )

    def status(self, name="c1"):
        answers = {answer.name: answer.status for answer in query_all(self.settings, 1.0)}
        return answers[name]

    def closed_count(self, reason, name="c1"):
        return self.status(name).counters.get(f"control.closed.{reason}", 0)

    def watch(self, *requests, name="c1", **options):
        self.watchers.append(Watcher(self.addresses[name], *requests, **options))
        return self.watchers[-1]

    def front(self, number, start=1, stream="-", last=0, name="c1"):
        return self.watch(f"front f{number} {start} {stream}", f"follow {last}", name=name)

    def command(self, *arguments):
        result = run_program("control", *arguments, self.path, seconds=WAIT_LIMIT_S)
        return result.returncode, result.stdout, result.stderr

    def close(self):
        for watcher in self.watchers:
            watcher.close()
        self.processes.close()
        self.discovery.close()
