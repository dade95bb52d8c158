"""The tables of the capacity page by the names in its marks; each is made from the recorded files alone."""

from __future__ import annotations

from collections.abc import Callable

from . import budget_tables, cost_tables
from .failures import failure_table
from .records import Measurement
from .scale_record import ScaleRecord

Table = Callable[[Measurement, ScaleRecord | None], list[str]]

TABLES: dict[str, Table] = {
    "first": budget_tables.first,
    "before": budget_tables.before,
    "with-control": budget_tables.with_control,
    "still": budget_tables.still,
    "purge-cost": budget_tables.purge_cost,
    "totals": cost_tables.totals,
    "front-machine": cost_tables.front_machine,
    "caches": cost_tables.caches,
    "failures": failure_table,
    "gateway": cost_tables.gateway,
    "slopes": cost_tables.slopes,
    "runs": cost_tables.runs,
}
