"""Timeouts of client connections."""

from __future__ import annotations

from ..runtime.units import MILLISECOND_NS, SECOND_NS

# The protocol's clients close an idle connection after 4 s. This side waits a quarter longer, so that it does
# not close a connection on which a client is about to send a request.
IDLE_TIMEOUT_NS = 5 * SECOND_NS
# Limit on the time until the first complete message, until the rest of a partial message, and until a client
# has read what was written to it. The operators require an answer or a close within 3 s of connecting.
UNFINISHED_TIMEOUT_NS = 2 * SECOND_NS
# Limit on the time in which a client reads the last responses and closes its side.
GRACEFUL_CLOSE_TIMEOUT_NS = 250 * MILLISECOND_NS
NEW_CLIENT_GRACE_NS = 250 * MILLISECOND_NS  # time a new client has for its first message
