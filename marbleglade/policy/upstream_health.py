"""The health of one upstream as observed by this front: error rate and circuit breaker."""

from __future__ import annotations

from ..model.attempt import Attempt
from .link_model import LinkModel

EJECTION_ERROR_RATE = 0.25  # error rate above which an upstream may be ejected (its circuit opens)
RECOVERY_ERROR_RATE = EJECTION_ERROR_RATE * 0.7  # error rate set after a successful half-open probe
HEALTHY_ERROR_RATE = EJECTION_ERROR_RATE / 8  # error rate below which the backoff is reset
ERROR_RATE_WEIGHT = 1 / 10  # weight of one result in the error rate
MAX_BACKOFF_FACTOR = 8  # ratio of the longest to the shortest ejection time


class UpstreamHealth:
    """The health of one cache, parent or origin.

    Args:
        now: The present time, ns.
        started_at: Start time of the upstream's process, ns; after a restart a new record replaces this one.
        warmup_debt: Initial deficit of the warm-up budget, as transfer time in ns; see `SlowStart`.
        backoff: The shortest ejection time, ns.
        link: The model of the upstream's own link.
    """

    def __init__(self, now: int, started_at: int, warmup_debt: float, backoff: int, link: LinkModel) -> None:
        self.started_at = started_at
        self.link = link
        self.in_flight: dict[Attempt, None] = {}  # attempts sent to this upstream, oldest first
        self.fills_in_flight: dict[Attempt, None] = {}  # attempts with this upstream as fill source
        self.fill_latency = 0.0  # time that a fill from this upstream adds to a response, ns
        self.last_response_at = now
        self.contents_lost_at = now  # objects observed earlier are assumed lost
        self.error_rate = 0.0
        self.circuit_open_until = 0  # ns; after it half-open (one probe at a time); 0 if closed
        self.half_open_probe: Attempt | None = None
        self.probe_delegated_until = 0  # until then another front probes this upstream
        self.suspected_until = 0  # until then many other fronts report it as ejected
        # Time of the last successful half-open probe by this front, ns. The recovery is reported to the fleet
        # for `RECOVERY_REPORT_OBJECTIVES`, and fronts that have ejected the upstream may then probe it at
        # once. A new record starts with a recovery one shortest ejection time ago. For the rest of the period
        # a newly listed or restarted upstream is therefore reported as recovered without any probe.
        self.recovered_at = now - backoff
        self.backoff = self.min_backoff = backoff  # duration of next and shortest ejection, ns
        self.warmup_budget = -warmup_debt  # transfer time, ns; see `SlowStart`
        self.warmup_budget_at = now

    @property
    def is_ejected(self) -> bool:
        """Whether the upstream is ejected, which lasts until a half-open probe succeeds."""
        return self.circuit_open_until != 0

    def is_usable(self, now: int) -> bool:
        """Return whether an attempt may be sent to the upstream, either normally or as half-open probe."""
        if not self.is_ejected:
            return True
        return now >= max(self.circuit_open_until, self.probe_delegated_until) and not self.half_open_probe

    def record_result(self, failure: float, now: int) -> None:
        """Record a result: 0 for a success, else the share of a failure attributed to this upstream.

        A success after the end of the ejection time closes the circuit.
        """
        self.error_rate += (failure - self.error_rate) * ERROR_RATE_WEIGHT
        if failure:
            return
        if self.is_ejected and now >= self.circuit_open_until:
            self.circuit_open_until = 0
            self.error_rate = RECOVERY_ERROR_RATE
            self.recovered_at = now
        elif self.error_rate < HEALTHY_ERROR_RATE:
            self.backoff = self.min_backoff

    def open_circuit(self, now: int) -> None:
        """Eject the upstream and assume its contents lost; the time of ejection doubles up to a limit."""
        self.circuit_open_until = now + self.backoff
        self.backoff = min(self.backoff * 2, self.min_backoff * MAX_BACKOFF_FACTOR)
        self.contents_lost_at = now

    def begin_attempt(self, attempt: Attempt, work: int, now: int) -> None:
        """Charge an attempt to the warm-up budget; it becomes the probe if the circuit is half-open."""
        if self.is_ejected and now >= self.circuit_open_until:
            self.half_open_probe = attempt
        self.warmup_budget -= work

    def end_attempt(self, attempt: Attempt, inconclusive: bool, now: int) -> None:
        """Remove an attempt; an inconclusive probe opens the circuit for the shortest ejection time."""
        self.in_flight.pop(attempt, None)
        self.fills_in_flight.pop(attempt, None)
        if self.half_open_probe is attempt:
            self.half_open_probe = None
            if inconclusive:
                self.circuit_open_until = now + self.min_backoff
