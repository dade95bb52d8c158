"""Listening sockets, and servers on loopback that run in the test process."""

from contextlib import suppress

import gevent
from gevent import socket

from marbleglade.testing.sockets import free_port
from tests.harness.waiting import TIMEOUT_SECONDS, wait_until

CONNECTION_QUEUE = 16


def bound_socket(socket_type: int = socket.SOCK_STREAM) -> socket.socket:
    """A socket that is bound to a free loopback port; a stream socket also listens."""
    sock = socket.socket(socket.AF_INET, socket_type)
    sock.bind(("127.0.0.1", 0))
    if socket_type == socket.SOCK_STREAM:
        sock.listen(CONNECTION_QUEUE)
    return sock


def fill_connection_queue(address: tuple[str, int], count: int = 4) -> list[socket.socket]:
    """Fills the queue of a listener that accepts no connection; four exceed the shortest queue."""
    fillers = [socket.socket() for _ in range(count)]
    for filler in fillers:
        filler.setblocking(False)
        with suppress(BlockingIOError):
            filler.connect(address)
    return fillers


class UnreachableAddress:
    """An address at which connections are neither established nor refused, because its queue stays full."""

    def __init__(self) -> None:
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.bind(("127.0.0.1", free_port()))
        self.listener.listen(0)
        self.address: tuple[str, int] = self.listener.getsockname()
        self.fillers = fill_connection_queue(self.address)

    def close(self) -> None:
        """Closes the sockets and frees the address."""
        for sock in (*self.fillers, self.listener):
            sock.close()


class ConnectionServer:
    """Accepts connections and handles each in its own greenlet.

    Attributes:
        address: The address of its listener.
        sockets: All connections, in the order in which they were accepted.
    """

    def __init__(self) -> None:
        self.listener = bound_socket()
        self.address: tuple[str, int] = self.listener.getsockname()
        self.sockets: list[socket.socket] = []
        self.readers: list[gevent.Greenlet] = []
        self.accept_loop = gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            self.sockets.append(sock)
            self.readers.append(gevent.spawn(self._serve, sock))

    def _serve(self, sock: socket.socket) -> None:
        with suppress(OSError):
            self._read(sock)

    def _read(self, sock: socket.socket) -> None:
        """Reads one connection until it is closed; may raise OSError if the connection is lost."""
        raise NotImplementedError

    def close(self) -> None:
        """Kills the greenlets of the server and closes all sockets."""
        gevent.killall([self.accept_loop, *self.readers])
        for sock in (self.listener, *self.sockets):
            sock.close()


class LineServer(ConnectionServer):
    """A server that records received lines; it stands in for a cache or a discovery service.

    Attributes:
        lines: The non-empty lines of all connections without line ends, in order of arrival.
        line_sockets: The connection of each entry of `lines`.
    """

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []
        self.line_sockets: list[socket.socket] = []

    def _read(self, sock: socket.socket) -> None:
        partial_line = b""
        while data := sock.recv(4096):
            *lines, partial_line = (partial_line + data).split(b"\n")
            new = [line.strip().decode() for line in lines if line.strip()]
            self.lines += new
            self.line_sockets += [sock] * len(new)

    def wait_for_lines(self, count: int, seconds: float = TIMEOUT_SECONDS) -> str:
        """Waits until `count` lines have been received, and returns the last received line."""
        wait_until(lambda: len(self.lines) >= count, seconds)
        return self.lines[-1]
