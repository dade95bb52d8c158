"""The responding side's state of one connection from a gateway of another region."""

from __future__ import annotations

from dataclasses import dataclass

from .link.connection import LinkConnection
from .link.flow_control import BodyReceiver
from .link.frames import InvalidLinkFrameError
from .link.messages import RequestMessage
from .request_journal import PeerSession


@dataclass(slots=True, eq=False)
class IncomingRequest:
    """A forwarded request whose body has not been received completely.

    Attributes:
        message: The message that announced the request.
        receiver: Collects the chunks of the request's body.
    """

    message: RequestMessage
    receiver: BodyReceiver


class PeerConnection:
    """A connection from a gateway of another region, with its session and its incomplete requests.

    Args:
        connection: The connection that messages are read from and sent on.

    Attributes:
        region: The remote gateway's region; empty until its hello is accepted.
        incoming: The requests whose body is incomplete, by request number.
    """

    def __init__(self, connection: LinkConnection) -> None:
        self.connection = connection
        self.region = ""
        self.incoming: dict[int, IncomingRequest] = {}
        self._session: PeerSession | None = None

    @property
    def has_session(self) -> bool:
        """True once the hello of the remote gateway has been accepted."""
        return self._session is not None

    @property
    def session(self) -> PeerSession:
        """The session of the remote gateway.

        Raises:
            InvalidLinkFrameError: No hello has been accepted on this connection.
        """
        if self._session is None:
            raise InvalidLinkFrameError("received another message before an accepted hello")
        return self._session

    def attach_session(self, session: PeerSession, region: str) -> None:
        """Attach the session of the remote gateway, and record the gateway's region."""
        self._session = session
        self.region = region
