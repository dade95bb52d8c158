"""The operators' budgets and the recorded figures that are compared with them."""

from __future__ import annotations

from dataclasses import dataclass

from marbleglade.transport import discovery_watch

from . import operators
from .records import CapacityRecord
from .totals import Term, total

RECONNECT_PAUSE_S = discovery_watch.HEARTBEAT_INTERVAL_S / 4  # default `retry_pause_s` of `WatchClient`
CONNECT_TIMEOUT_S = discovery_watch.SILENCE_TIMEOUT_S / 2  # assumed wait of `WatchClient` for a connection


@dataclass(frozen=True, slots=True)
class Budget:
    """One budget and the figure that is compared with it.

    Attributes:
        name: The limited quantity, with the kind of front that it applies to or the event that it measures.
        limit: The most that the operators allow, in `unit`.
        unit: The unit of all figures.
        value: The figure, in `unit`; None if there is no mechanism to measure.
        basis: How the figure was obtained, such as "measured" or "simulated", or why there is none.
        scale_summary_field: Field of the scale run's summary with the control plane's figure; "" if none.
        later_value: The figure with a later mechanism, in `unit`; None if none was recorded.
        later_mechanism: Name of that mechanism.
    """

    name: str
    limit: float
    unit: str
    value: float | None
    basis: str
    scale_summary_field: str = ""
    later_value: float | None = None
    later_mechanism: str = ""

    @property
    def is_within_limit(self) -> bool:
        """Whether there is a figure and it is within the limit."""
        return self.value is not None and self.value <= self.limit

    @property
    def ratio(self) -> float:
        """The figure divided by the limit; infinite if there is no figure."""
        return float("inf") if self.value is None else self.value / self.limit


UPDATE_BYTES = (Term("watch"), Term("hints", 2))
"""Bytes of a front's update streams: its discovery watch, and anti-entropy messages sent and received."""
AGENT_BYTES = tuple(Term(f"fleet loaded front bytes {way}") for way in ("sent", "received"))
AGGREGATOR_BYTES = tuple(Term(f"fleet loaded view aggregator bytes {way}") for way in ("sent", "received"))
LEADER_BYTES = tuple(Term(f"maintenance leader quorum bytes {way}") for way in ("sent", "received"))
NINE_VOTER_LEADER_BYTES = tuple(
    Term(f"maintenance leader with nine voters bytes {way}") for way in ("sent", "received")
)
PURGED_STATE = ("directory", "copies", "open requests", "recent purges")
"""The kinds of a front's state in which a purge is looked up."""
SCANNED_PURGE_CPU = tuple(
    Term(f"purge by scan of {what}", operators.EXPECTED_PURGES_PER_S) for what in PURGED_STATE
)
INDEXED_PURGE_CPU = tuple(
    Term(f"purge by index of {what}", operators.EXPECTED_PURGES_PER_S) for what in PURGED_STATE
)
LIST_CHANGE_CPU = (Term("list change one cache changed", operators.CHANGES_PER_DAY / 86_400),)
AGENT_CPU = (Term("fleet loaded front processor time"),)
AGGREGATOR_CPU = (Term("fleet loaded view aggregator processor time"),)
CONTROL_NODE_VIEW_BYTES = tuple(
    Term(f"fleet viewed by nodes front bytes {way}") for way in ("sent", "received")
)
CONTROL_NODE_VIEW_CPU = (Term("fleet viewed by nodes front processor time"),)
"""Processor time of every front if the control nodes aggregate the load view, so that no front does."""
PURGE_INDEX, CONTROL_NODE_VIEW_AND_INDEX = (
    "purges by index",
    "the load view made by control nodes and purges by index",
)
AGENT_MEMORY = (Term("fleet front member table"),)


def budgets_without_control_plane(recorded: CapacityRecord, fronts: int = operators.FRONTS) -> list[Budget]:
    """Return the budgets and their figures for `fronts` fronts without the control plane."""
    return [
        *_bytes(recorded, fronts),
        *_processor_time(recorded, fronts),
        _memory(recorded, fronts),
        *_delays(),
    ]


def _bytes(recorded: CapacityRecord, fronts: int) -> list[Budget]:
    limit, agent = operators.MAX_BYTES_PER_S, (*UPDATE_BYTES, *AGENT_BYTES)
    found = (
        ("bytes of a usual front", agent, "simulated"),
        ("bytes of the view aggregator", (*UPDATE_BYTES, *AGGREGATOR_BYTES), "simulated"),
        ("bytes of the maintenance leader", (*agent, *LEADER_BYTES), "simulated, while there is work"),
    )
    later = {
        "bytes of the view aggregator": (CONTROL_NODE_VIEW_BYTES, "the load view made by control nodes"),
        "bytes of the maintenance leader": (
            (*CONTROL_NODE_VIEW_BYTES, *NINE_VOTER_LEADER_BYTES),
            "nine voters and that view",
        ),
    }
    budgets = []
    for name, terms, basis in found:
        later_terms, later_mechanism = later.get(name, ((), ""))
        later_value = _later_value(recorded, (*UPDATE_BYTES, *later_terms), fronts) if later_terms else None
        value = total(recorded, terms, fronts)
        budgets.append(
            Budget(name, limit, "B/s", value, basis, later_value=later_value, later_mechanism=later_mechanism)
        )
    return budgets


def _processor_time(recorded: CapacityRecord, fronts: int) -> list[Budget]:
    found = []
    for who, agent, later, how in (
        ("a usual front", AGENT_CPU, AGENT_CPU, PURGE_INDEX),
        ("the view aggregator", AGGREGATOR_CPU, CONTROL_NODE_VIEW_CPU, CONTROL_NODE_VIEW_AND_INDEX),
    ):
        value = total(recorded, (*agent, *SCANNED_PURGE_CPU, *LIST_CHANGE_CPU), fronts)
        later_value = _later_value(recorded, (*later, *INDEXED_PURGE_CPU, *LIST_CHANGE_CPU), fronts)
        name, basis = f"processor time of {who}", "measured, without sockets"
        found.append(
            Budget(
                name,
                operators.MAX_CORE_SHARE,
                "core",
                value,
                basis,
                later_value=later_value,
                later_mechanism=how,
            )
        )
    return found


def _later_value(recorded: CapacityRecord, terms: tuple[Term, ...], fronts: int) -> float | None:
    """Return the total of the terms of a later mechanism, or None if a slope of theirs was not recorded."""
    names = {slope.name for slope in recorded.slopes}
    return total(recorded, terms, fronts) if all(term.name in names for term in terms) else None


def _memory(recorded: CapacityRecord, fronts: int) -> Budget:
    value = total(recorded, AGENT_MEMORY, fronts)
    return Budget("memory of a front's control", operators.MAX_MEMORY_BYTES, "B", value, "measured")


def _delays() -> list[Budget]:
    # The silence timeout, then one reconnection that fails, and the pause before the next.
    silent = discovery_watch.SILENCE_TIMEOUT_S + RECONNECT_PAUSE_S + CONNECT_TIMEOUT_S
    worst, limit = "purge_everywhere_s_worst", operators.MAX_PURGE_SECONDS
    return [
        Budget(
            "a purge at a front whose discovery service falls silent and fails one reconnection",
            limit,
            "s",
            silent,
            "worked out from the bounds of the watch",
            worst,
        ),
        Budget("a purge confirmed as done everywhere", limit, "s", None, "no confirmation", worst),
        Budget(
            "a change of configuration in force everywhere",
            operators.MAX_CONFIGURATION_SECONDS,
            "s",
            None,
            "no distribution",
            "config_everywhere_s_worst",
        ),
    ]
