"""Socket calls shared by all connections: listen, accept, connect, read and write, with retries.

Reads and writes that fail with a transient error are retried.
"""

from __future__ import annotations

import errno
import itertools
from collections.abc import Callable, Iterable, Iterator

import gevent
from gevent import socket

from ..runtime import clock
from ..runtime.error_guard import ErrorGuard
from ..runtime.json_log import Log
from ..runtime.units import SECOND_NS

# Shared by all readers: a reader has to process the bytes in it before another greenlet runs.
READ_BUFFER = memoryview(bytearray(1 << 16))
CALLS_PER_TURN = 32  # reads or messages of one connection after which the greenlet yields to the others
# Errors that do not affect the connection: the kernel had no memory or buffer for the call at that moment.
TRANSIENT_ERRORS = frozenset({errno.ENOBUFS, errno.ENOMEM})
RETRY_PAUSE_S = 0.002  # pause before a call is retried after a transient error
MAX_RETRIES = 500  # consecutive retries of one call
BIND_RETRY_PAUSE_S = 0.05
# How long a process retries to bind an address in use: the previous process ends within 3.7 s.
MAX_BIND_WAIT_NS = 8 * SECOND_NS

SocketOption = tuple[int, int, int]  # level, name, value


def listen_with_retries(
    listener: socket.socket,
    address: tuple[str, int],
    backlog: int,
    on_failure: Callable[[OSError, int], None],
    max_wait_ns: int = MAX_BIND_WAIT_NS,
) -> None:
    """Listen at an address; retry while the address is in use or binding fails for another reason.

    Args:
        listener: An unbound TCP socket.
        address: Host and port.
        backlog: The most connections that may wait to be accepted.
        on_failure: Called after each failure with the error and the number of earlier failures; it may raise.
        max_wait_ns: How long binding is retried, ns.

    Raises:
        OSError: Binding still failed after `max_wait_ns`, or listening failed.
    """
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    deadline = clock.now() + max_wait_ns
    for count in itertools.count():
        try:
            listener.bind(address)
            break
        except OSError as error:
            on_failure(error, count)
            if clock.now() > deadline:
                raise
        gevent.sleep(BIND_RETRY_PAUSE_S)
    listener.listen(backlog)


def open_listener(address: tuple[str, int], backlog: int, log: Log) -> socket.socket:
    """Return a socket that listens at an address. Failures are retried, and the first one is logged.

    Raises:
        OSError: Binding still failed after `MAX_BIND_WAIT_NS`, or listening failed.
    """

    def log_first_failure(error: OSError, count: int) -> None:
        if not count:
            log.info("not_listening", address=":".join(map(str, address)), error=str(error))

    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listen_with_retries(listener, address, backlog, log_first_failure)
    except BaseException:
        listener.close()
        raise
    return listener


def accept_forever(
    listener: socket.socket,
    retry_pause_s: float,
    on_failure: Callable[[], None],
    guard: ErrorGuard,
    on_connection: Callable[[socket.socket], None],
) -> None:
    """Accept connections forever.

    Args:
        listener: The listening socket.
        retry_pause_s: Pause after a failed accept, seconds.
        on_failure: Called after each failed accept.
        guard: Records exceptions of `on_connection`; each closes only the connection it was raised for.
        on_connection: Called with each accepted connection; must not block.
    """

    def start_or_close(sock: socket.socket) -> None:
        try:
            on_connection(sock)
        except BaseException:
            sock.close()
            raise

    while True:
        try:
            sock = listener.accept()[0]
        except OSError:
            on_failure()
            gevent.sleep(retry_pause_s)
            continue
        guard.call("accept", start_or_close, sock)


def set_options(sock: socket.socket, options: Iterable[SocketOption], on_failure: Callable[[], None]) -> None:
    """Set socket options that only improve performance; call `on_failure` for each one that can't be set."""
    for option in options:
        try:
            sock.setsockopt(*option)
        except OSError:
            on_failure()


def connect_within(sock: socket.socket, address: tuple[str, int], seconds: float) -> None:
    """Connect with a time-out.

    A connection that was established counts as connected even if this process was delayed past the time-out.

    Args:
        sock: An unconnected socket; afterwards it blocks without a time-out.
        address: Host and port.
        seconds: The time-out; with 0 only the time-out of the operating system applies.

    Raises:
        OSError: Connecting failed; `TimeoutError` if the time-out passed first.
    """
    sock.settimeout(seconds or None)
    try:
        sock.connect(address)
    except TimeoutError:
        if not _is_connected(sock):
            raise
    sock.settimeout(None)


def _is_connected(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def is_transient(error: OSError) -> bool:
    """Return whether an error leaves the connection intact, so that the call can be retried."""
    return error.errno in TRANSIENT_ERRORS


def _retry_while_transient(call: Callable[[], int], error: OSError) -> int:
    """Retry a failed call while its errors are transient, for about a second at most."""
    for _ in range(MAX_RETRIES):
        if not is_transient(error):
            break
        gevent.sleep(RETRY_PAUSE_S)
        try:
            return call()
        except OSError as latest:
            error = latest
    raise error


def receive_into(sock: socket.socket, buffer: memoryview) -> int:
    """Wait for bytes and read them into `buffer`; return their number, 0 at the end of the stream."""
    try:
        size: int = sock.recv_into(buffer)
    except OSError as error:
        return _retry_while_transient(lambda: sock.recv_into(buffer), error)
    return size


def read_chunks(sock: socket.socket) -> Iterator[memoryview]:
    """Yield the bytes that arrive on a connection until it ends.

    Each chunk is a view of `READ_BUFFER` and valid only until this greenlet next waits. Other greenlets run
    after every `CALLS_PER_TURN` reads: a read that finds bytes does not block, so a peer that sends without a
    pause would starve them, including those that could close its connection.
    """
    for count in itertools.count(1):
        size = receive_into(sock, READ_BUFFER)
        if not size:
            return
        yield READ_BUFFER[:size]
        if not count % CALLS_PER_TURN:
            gevent.sleep(0)


def receive_available(sock: socket.socket) -> memoryview | None:
    """Read the bytes that have arrived, up to the size of `READ_BUFFER`, without blocking.

    Returns:
        The bytes; empty at the end of the stream; None if nothing has arrived or on a transient error.
    """
    timeout = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        return READ_BUFFER[: sock.recv_into(READ_BUFFER)]
    except BlockingIOError:
        return None
    except OSError as error:
        if is_transient(error):
            return None
        raise
    finally:
        sock.settimeout(timeout)


def peek(sock: socket.socket, max_bytes: int = 1, on_transient_error: bytes | None = None) -> bytes | None:
    """Return the next unread bytes without removing them from the socket and without blocking.

    Returns:
        The bytes; empty at the end of the stream, after a reset and on a closed socket; None if nothing has
        arrived; `on_transient_error` on a transient error.
    """
    timeout = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        data: bytes = sock.recv(max_bytes, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError as error:
        return on_transient_error if is_transient(error) else b""
    finally:
        sock.settimeout(timeout)
    return data


def has_ended(sock: socket.socket) -> bool:
    """Return whether a connection has ended and no unread bytes are left; does not block."""
    return peek(sock) == b""


def has_unread_bytes(sock: socket.socket) -> bool:
    """Return whether there are, or may be, unread bytes; the end alone does not count. Does not block."""
    return bool(peek(sock, on_transient_error=b"?"))


def send_some(sock: socket.socket, data: memoryview) -> int:
    """Wait until the kernel accepts some of `data`; return the number of bytes written."""
    try:
        size: int = sock.send(data)
    except OSError as error:
        return _retry_while_transient(lambda: sock.send(data), error)
    return size


def send_now(sock: socket.socket, data: bytes | bytearray) -> int:
    """Write as much of `data` as the kernel accepts without blocking; return the number of bytes written."""
    try:
        size: int = sock.send(data, 0, 0.0)
    except BlockingIOError:
        return 0
    return size


def send_or_defer(sock: socket.socket, data: bytes | bytearray) -> int:
    """Like `send_now`, but return 0 on a transient error: nothing was written, and the caller can retry."""
    try:
        return send_now(sock, data)
    except OSError as error:
        if is_transient(error):
            return 0
        raise
