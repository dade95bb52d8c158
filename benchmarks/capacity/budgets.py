"""The operators' budgets against what was recorded: before the control plane, and with it."""

from __future__ import annotations

from dataclasses import dataclass

from marbleglade.wire import coordinator

from . import operators
from .records import Measurement
from .totals import Term, total

RECONNECT_PAUSE = coordinator.BEAT / 4  # seconds, the pause of `Follower`
FAILED_CONNECT = coordinator.SILENT / 2  # seconds for which it waits for a connection


@dataclass(frozen=True, slots=True)
class Budget:
    """One budget and the figure against it.

    Attributes:
        name: What is bounded, for which front.
        limit: In `unit`.
        value: The figure, in `unit`; None where there is no mechanism that could keep it, or no measurement.
        origin: "measured", "simulated" or "worked out", or why there is no figure.
        mended_by: The field of the scale run's summary that shows it with the control plane; "": none does.
    """

    name: str
    limit: float
    unit: str
    value: float | None
    origin: str
    mended_by: str = ""

    @property
    def kept(self) -> bool:
        """Whether the figure shows that the budget is kept."""
        return self.value is not None and self.value <= self.limit

    @property
    def ratio(self) -> float:
        """The figure over the limit; endless where there is no mechanism."""
        return float("inf") if self.value is None else self.value / self.limit


WATCH = (Term("watch"), Term("hints", 2))
"""What every front gets from the discovery service, and exchanges with peers: sent and received."""
AGENT_BYTES = tuple(Term(f"fleet loaded front bytes {way}") for way in ("sent", "received"))
AGGREGATOR_BYTES = tuple(Term(f"fleet loaded view aggregator bytes {way}") for way in ("sent", "received"))
LEADER_BYTES = tuple(Term(f"maintenance maintenance leader bytes {way}") for way in ("sent", "received"))
PURGES = tuple(
    Term(f"purge by {what}", operators.PURGES_PER_S)
    for what in ("directory", "copies", "open requests", "recent purges")
)
CHANGES = (Term("list change one cache changed", operators.CHANGES_PER_DAY / 86_400),)
AGENT_CPU = (Term("fleet loaded front processor time"),)
AGGREGATOR_CPU = (Term("fleet loaded view aggregator processor time"),)
AGENT_MEMORY = (Term("fleet front member table"),)


def before(recorded: Measurement, fronts: int = operators.FRONTS) -> list[Budget]:
    """The budgets on main before the control plane, with so many fronts."""

    def figure(*terms: Term) -> float:
        return total(recorded, terms, fronts)

    share, rate = operators.CORE_SHARE, operators.BYTES_PER_S
    silent = coordinator.SILENT + RECONNECT_PAUSE + FAILED_CONNECT
    return [
        Budget("bytes of a usual front", rate, "B/s", figure(*WATCH, *AGENT_BYTES), "simulated"),
        Budget("bytes of the view aggregator", rate, "B/s", figure(*WATCH, *AGGREGATOR_BYTES), "simulated"),
        Budget(
            "bytes of the maintenance leader",
            rate,
            "B/s",
            figure(*WATCH, *AGENT_BYTES, *LEADER_BYTES),
            "simulated",
        ),
        Budget(
            "processor time of a usual front",
            share,
            "core",
            figure(*AGENT_CPU, *PURGES, *CHANGES),
            "measured without sockets",
            "control_cpu_share_front",
        ),
        Budget(
            "processor time of the view aggregator",
            share,
            "core",
            figure(*AGGREGATOR_CPU, *PURGES, *CHANGES),
            "measured without sockets",
        ),
        Budget(
            "memory of a front's control",
            operators.MEMORY_BYTES,
            "B",
            figure(*AGENT_MEMORY),
            "measured",
            "control_memory_mb_front",
        ),
        Budget(
            "purge at a front whose discovery service falls silent",
            operators.PURGE_SECONDS,
            "s",
            silent,
            "worked out from the settings of the watch",
            "purge_everywhere_s_worst",
        ),
        Budget(
            "purge confirmed as done everywhere",
            operators.PURGE_SECONDS,
            "s",
            None,
            "no confirmation",
            "purge_everywhere_s_worst",
        ),
        Budget(
            "change of configuration in force everywhere",
            operators.CONFIGURATION_SECONDS,
            "s",
            None,
            "no distribution",
            "config_everywhere_s_worst",
        ),
    ]
