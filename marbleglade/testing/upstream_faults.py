"""Faults of a stand-in upstream that tests set while it runs."""

from __future__ import annotations

from gevent.event import Event


class UpstreamFaults:
    """Faults and other settings of one upstream, initially without faults.

    Attributes:
        response_delay: Delay before each response, in seconds.
        response_gates: Events by request class; responses are withheld until their event is set.
        gate_spread_seconds: Time over which responses are spread after their gate event is set.
        silent: Whether it reads requests without responding.
        resets_connections: Whether it closes each new connection at once.
        corrupts_bodies: Whether it replaces the last byte of each body.
        rejects_all: Whether it rejects every request for lack of capacity.
        fails_all: Whether it responds to every request with an error.
        crashed: Whether an overload during slow start made it close new connections until its restart.
        draining: Whether fronts are expected to send no more requests.
        draining_since: Monotonic time at which draining began.
        requests_while_draining: Number of requests received after the grace period of the drain.
        non_idempotent_classes: Request classes whose requests have side effects.
        effect_seconds: Execution time of a request with side effects.
    """

    def __init__(self) -> None:
        self.response_delay = 0.0
        self.response_gates: dict[str, Event] = {}
        self.gate_spread_seconds = 0.0
        self.silent = False
        self.resets_connections = False
        self.corrupts_bodies = False
        self.rejects_all = False
        self.fails_all = False
        self.crashed = False
        self.draining = False
        self.draining_since = 0.0
        self.requests_while_draining = 0
        self.non_idempotent_classes: set[str] = set()
        self.effect_seconds = 0.0
