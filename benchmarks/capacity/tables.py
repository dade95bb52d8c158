"""The functions that generate the tables of the capacity page, by the names in its marks."""

from __future__ import annotations

from collections.abc import Callable

from . import budget_tables, cost_tables
from .failures import failure_table
from .records import CapacityRecord
from .scale_record import ScaleRecord

Table = Callable[[CapacityRecord, ScaleRecord | None], list[str]]

TABLES: dict[str, Table] = {
    "first": budget_tables.most_exceeded,
    "before": budget_tables.without_control_plane,
    "with-control": budget_tables.with_control_plane,
    "still": budget_tables.unmet,
    "purge-cost": budget_tables.purge_cost,
    "totals": cost_tables.totals,
    "front-machine": cost_tables.front_machine,
    "caches": cost_tables.caches,
    "failures": failure_table,
    "gateway": cost_tables.gateway,
    "slopes": cost_tables.slopes,
    "runs": cost_tables.runs,
}
