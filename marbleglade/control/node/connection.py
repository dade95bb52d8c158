"""One connection to a control node: handles the requests of its peer.

The peer is a watcher (a front or a client without a name that follows the event stream), another control node
or an operator.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gevent import socket

from ...runtime import clock
from ...runtime.error_guard import ErrorGuard
from ...transport.sockets import send_now
from ..events.confirmation import ConfirmationTracker, EarlierStartError, UnknownFrontError
from ..events.event_log import EventLog
from ..events.session import FellBehindError, ProtocolError, Session, resumable_index
from ..messages import (
    ConfigurationApplied,
    ConfigurationRejected,
    EventsApplied,
    Follow,
    FrontHello,
    FrontLeaving,
    Greeting,
    InvalidLineError,
    LoadReport,
    LoadView,
    PartialViewsQuery,
    Request,
    StatusQuery,
    decode_request,
    encode_greeting,
    encode_load_view,
)
from .request_reader import RequestReader
from .watch_writer import WatchWriter

STATUS_SEND_TIMEOUT_S = 5.0  # time in which an operator's connection must accept a status line
# Suffix of the counter `control.closed.*` for errors that close a connection. A `ProtocolError` has its own
# suffix, and an `OSError` is counted as `lost`.
CLOSE_REASONS: dict[type[Exception], str] = {
    InvalidLineError: "bad_line",
    FellBehindError: "fell_behind",
    UnknownFrontError: "unknown_front",
    EarlierStartError: "earlier_start",
}


class LoadReportReceiver(Protocol):
    """Receives the load reports of fronts."""

    def handle_report(self, front: str, data: bytes) -> bytes:
        """Handle an encoded load report; return the encoded view for that front, or `b""` to send none.

        Raises:
            ProtocolError: The data is not a load report.
        """


class ControlConnectionHost(Protocol):
    """The state and functions that all connections of a node share."""

    log: EventLog
    confirmation: ConfirmationTracker
    catch_up_bytes_per_s: int
    is_ready: Callable[[], bool]
    status: Callable[[], bytes]
    load_views: LoadReportReceiver
    guard: ErrorGuard

    def spawn(self, function: Callable[[], object]) -> None:
        """Run a function in a greenlet that is killed when the node stops."""

    def greeting(self, snapshot_to: int) -> Greeting:
        """Return the greeting that starts the stream to a front or another node.

        Args:
            snapshot_to: The number of the last event that the following snapshot covers; 0: no snapshot.
        """

    def close_replaced(self, number: int) -> None:
        """Close the connection with this number, if any, because the same front has opened a new one."""

    def connection_closed(self, connection: ControlConnection, reason: str, detail: str) -> None:
        """Remove a closed connection; count and log why it was closed."""


class ControlConnection:
    """One accepted connection until it is closed.

    Args:
        host: The state and functions shared by all connections.
        sock: The socket of the connection.
        number: The number of the connection, unique in the node.
    """

    def __init__(self, host: ControlConnectionHost, sock: socket.socket, number: int) -> None:
        self.host = host
        self.sock = sock
        self.number = number
        self.hello: FrontHello | None = None
        self.session: Session | None = None
        self.writer: WatchWriter | None = None
        self.open = True
        self.wants_partial_views = False  # the peer is a control node that requested partial views

    def run(self) -> None:
        """Read and handle requests until the connection ends; an error closes only this connection."""
        try:
            for line in RequestReader(self.sock, self._may_idle).lines():
                self._handle(decode_request(line))
            self.close("ended")
        except ProtocolError as error:
            self.close(error.kind, str(error))
        except tuple(CLOSE_REASONS) as error:
            self.close(CLOSE_REASONS[type(error)], str(error))
        except OSError as error:
            self.close("lost", str(error))
        except Exception as error:
            self.host.guard.record("control", error)
            self.close("failed", repr(error))

    def _may_idle(self) -> bool:
        return self.session is not None or self.wants_partial_views

    def _handle(self, request: Request) -> None:
        """Handle one request. Raises `ProtocolError` if it is not allowed at this point.

        The reports of a front are allowed only after its `Follow`, all other requests only before a `Follow`.
        """
        if self.session and self.hello:
            accepted = self._handle_after_follow(request, self.session, self.hello)
        elif self.session:
            accepted = False
        else:
            accepted = self._handle_before_follow(request)
        if not accepted:
            raise ProtocolError(
                "out_of_turn", f"request {type(request).__name__} is not allowed in this state"
            )

    def _handle_before_follow(self, request: Request) -> bool:
        match request:
            case StatusQuery():
                self._send_status()
            case FrontHello() if not self.hello:
                self.host.confirmation.admit(request.name, request.start_ms)
                self.hello = request
            case Follow(last):
                self._follow(last)
            case PartialViewsQuery() if not self.hello:
                self.wants_partial_views = True
                self.send_to_node(encode_greeting(self.host.greeting(0)))
            case _:
                return False
        return True

    def _handle_after_follow(self, request: Request, session: Session, hello: FrontHello) -> bool:
        confirmation = self.host.confirmation
        match request:
            case EventsApplied(index):
                session.accept_applied(request)
                confirmation.record_applied(hello.name, self.number, index, clock.now())
            case ConfigurationApplied(version):
                session.accept_version(request)
                confirmation.record_configured(hello.name, self.number, version, clock.now())
            case ConfigurationRejected(version, reason):
                session.accept_version(request)
                confirmation.record_rejected(hello.name, self.number, version, reason)
            case FrontLeaving():
                confirmation.record_left(hello.name, self.number)
            case LoadReport(data):
                self._answer_report(session, hello, data)
            case _:
                return False
        return True

    def _answer_report(self, session: Session, hello: FrontHello, data: bytes) -> None:
        """Answer a load report with the current aggregated view, if one is due."""
        if view := self.host.load_views.handle_report(hello.name, data):
            session.queue_load_view(encode_load_view(LoadView(view)))
            self.push(clock.now())

    def _send_status(self) -> None:
        self.sock.settimeout(STATUS_SEND_TIMEOUT_S)
        self.sock.sendall(self.host.status())

    def _follow(self, last: int) -> None:
        if not self.host.is_ready():
            raise ProtocolError("not_ready", "the discovery service has sent no heartbeat yet")
        session = Session(self.host.log, self.host.catch_up_bytes_per_s)
        self.writer = WatchWriter(session, self.sock, self.host.spawn, self.close)
        self.session = session
        if self.hello:
            self._start_for_front(session, self.hello, last)
        else:
            session.resume_after(last)
        self.push(clock.now())

    def _start_for_front(self, session: Session, hello: FrontHello, last: int) -> None:
        confirmation = self.host.confirmation
        record = confirmation.admit(hello.name, hello.start_ms)
        self.host.close_replaced(record.connection)
        resume_index = resumable_index(hello, last, self.host.log, record)
        confirmation.record_connected(hello.name, hello.start_ms, self.number, clock.now())
        snapshot_to = session.start_for_front(resume_index)
        session.queue_greeting(encode_greeting(self.host.greeting(snapshot_to)))

    def push(self, now: int) -> None:
        """Write new events if the peer follows the event stream."""
        if self.writer:
            self.writer.push(now)

    def heartbeat(self) -> None:
        """Send a heartbeat if the peer follows the event stream and was sent all events."""
        if self.writer:
            self.writer.heartbeat()

    def send_to_node(self, line: bytes) -> None:
        """Write a line to another node without blocking; close the connection if only a part fits."""
        try:
            if send_now(self.sock, line) < len(line):
                self.close("slow", "the send buffer has no space for the whole line")
        except OSError as error:
            self.close("lost", str(error))

    def close(self, reason: str, detail: str = "") -> None:
        """Close the connection if it is open; `reason` is for the counters, `detail` for the log."""
        if not self.open:
            return
        self.open = False
        if self.writer:
            self.writer.stop()
        self.sock.close()
        self.host.connection_closed(self, reason, detail)
