"""Three control nodes as processes with stores, and proxies between them that can hold back messages."""

import json
from contextlib import suppress

import gevent
from gevent import socket

from marbleglade.control import settings as control_settings_reader
from marbleglade.control.configuration.proposer import Proposer
from marbleglade.testing.sockets import address_text
from tests.harness.control_plane import NodeProcesses, control_settings, free_address
from tests.harness.front_process import FrontProcess
from tests.harness.programs import run_program
from tests.harness.servers import ConnectionServer
from tests.harness.settings import front_configuration
from tests.harness.waiting import wait_until

NODES = ("c0", "c1", "c2")
WAIT_LIMIT_S = 30.0  # for one step; generous, so that a busy machine meets it
FRONT = "n3"  # the name of the front in `front_configuration`


def document(base_version, port=9100):
    region = f'region {{ name: "east" discovery: "127.0.0.1:{port}" }}'
    return f'deployment: "shop" base_version: {base_version} {region}'


class HoldingProxy(ConnectionServer):
    """Forwards the bytes of its connections to one node, and can hold them back.

    Attributes:
        hold_from: The proxy holds back the first read with these bytes and all later reads; None: no read.
        held_back: The bytes held back on all connections.
    """

    def __init__(self, target):
        self.target = target
        self.hold_from, self.held_back = None, bytearray()
        super().__init__()

    def _read(self, sock):
        with sock, socket.create_connection(self.target, 5.0) as outgoing:
            self.readers.append(gevent.spawn(self._close_when_node_closes, sock, outgoing))
            while data := sock.recv(1 << 16):
                if self.hold_from and (self.held_back or self.hold_from in data):
                    self.held_back += data
                else:
                    outgoing.sendall(data)

    @staticmethod
    def _close_when_node_closes(incoming, outgoing):
        """Shuts `incoming` down once `outgoing` ends. A node writes nothing on connections it accepted."""
        with suppress(OSError):
            outgoing.recv(1)
        with suppress(OSError):
            incoming.shutdown(socket.SHUT_RDWR)

    def release(self):
        """Closes all connections and discards the bytes held back; new connections are forwarded."""
        gevent.killall(self.readers)
        self.readers.clear()
        self.hold_from = None
        self.held_back.clear()


class ProxiedNodes(NodeProcesses):
    """Three control nodes. Each node connects to the other two through a separate proxy for each."""

    def __init__(self, folder, discovery=None):
        super().__init__(folder, optimize=False)
        self.discovery = discovery or free_address()
        self.addresses = {name: (free_address(), free_address()) for name in NODES}
        self.proxies = {
            (sender, recipient): HoldingProxy(self.addresses[recipient][1])
            for sender in NODES
            for recipient in NODES
            if sender != recipient
        }
        for name in NODES:
            self.settings_file(name).write_text(self.settings_text(name))
        self.operator_settings_file = folder / "operators.textproto"
        self.operator_settings_file.write_text(self.settings_text(None))
        self.settings = control_settings_reader.read(str(self.operator_settings_file))
        environment = {"MARBLEGLADE_CONTROL": str(self.operator_settings_file)}
        self.front = FrontProcess(folder, WAIT_LIMIT_S, environment, optimize=False)

    def settings_file(self, name):
        return self.folder / f"{name}.textproto"

    def settings_text(self, reader):
        """Returns settings for a node, with its proxies as addresses of the others; None: for operators."""
        addresses = {
            name: (
                address,
                self.proxies[reader, name].address if reader and reader != name else quorum_address,
            )
            for name, (address, quorum_address) in self.addresses.items()
        }
        return control_settings(self.discovery, FRONT, addresses, "shop")

    def store(self, name):
        return self.folder / f"store-{name}"

    def arguments(self, name):
        return [*super().arguments(name), "--store", str(self.store(name))]

    def leader(self):
        names = [name for name in self.running if self.log(name).last_value("role") == "leader"]
        return names[0] if len(names) == 1 else None

    def wait_for_leader(self):
        wait_until(self.leader, WAIT_LIMIT_S, interval=0.05)
        return self.leader()

    def propose(self, text, timeout=WAIT_LIMIT_S):
        return Proposer(self.settings, text, timeout).run()

    def wait_for_logged(self, field, value, *names):
        """Waits until the last value of the log field is `value` on these nodes, or on all running nodes."""
        wait_until(
            lambda: all(self.log(name).last_value(field) == value for name in names or self.running),
            WAIT_LIMIT_S,
            interval=0.05,
        )

    def node_with_held_messages(self, end):
        """Returns the node with held messages in both proxies from it (`end` 0) or to it (1); else None."""
        for name in NODES:
            if all(proxy.held_back for ends, proxy in self.proxies.items() if ends[end] == name):
                return name
        return None

    def start_front(self):
        """Starts a front that is connected to these nodes."""
        listen, discovery = address_text(free_address()), address_text(self.discovery)
        self.front.configure(front_configuration(listen=listen, coordinator=discovery))
        self.front.start()

    def configuration_status(self):
        """Returns the configuration part of the status that the command line reports."""
        return json.loads(run_program("control", "status", self.operator_settings_file, "--json").stdout)[
            "configuration"
        ]

    def close(self):
        super().close()
        self.front.kill()
        for proxy in self.proxies.values():
            proxy.close()
