"""Partial load views between control nodes, as lines of JSON, without I/O.

A node that wants another's partial views connects to its address and writes `partial-views`; it is greeted
like a front and sent one partial view a line.
"""

from __future__ import annotations

from typing import TypeVar

import orjson

from ...fleet.load_view import (
    MAX_OPEN_CIRCUITS,
    MAX_RECOVERED,
    UNKNOWN_AGE_MS,
    AggregatedView,
    LinkWork,
    OpenCircuit,
    ZoneLoad,
)
from ...fleet.load_view_aggregation import FILL_LINK_COUNT, MAX_ZONES, NODE_TERM
from ..messages import InvalidLineError

MAX_LINE_BYTES = 1 << 14
MAX_TOTAL = 2**63 - 1
# Limits of the field widths in the datagrams between fronts.
MAX_LINK = 2**8 - 1
MAX_ZONE = 2**8 - 1
MAX_FRONT = 2**16 - 1
MAX_REPORTING_FRONTS = 2**16 - 1
MAX_UPSTREAM = 2**32 - 1

Row = TypeVar("Row")
# Rows of the JSON line: arrays with these fields.
LinkRow = tuple[int, int, int]  # link, work and duration in milliseconds
ZoneRow = tuple[int, float, int, int]  # zone, load, age in milliseconds, prober
CircuitRow = tuple[int, int, int]  # upstream, reporters, prober


def encode_partial_view(view: AggregatedView) -> bytes:
    """Encode a partial view as one line."""
    content = {
        "seq": view.sequence,
        "fronts": view.fronts,
        "load": view.load_ms,
        "firsts": view.first_requests,
        "furthers": view.retry_cost,
        "pushed": view.rejected,
        "links": [(key, *pair) for key, pair in view.links.items()],
        "zones": [(zone, load.value, load.age_ms, load.prober) for zone, load in view.zone_loads.items()],
        "shut": [
            (upstream, circuit.reporters, circuit.prober) for upstream, circuit in view.open_circuits.items()
        ],
        "answered": view.recovered,
    }
    line: bytes = orjson.dumps({"partial_view": content}, option=orjson.OPT_APPEND_NEWLINE)
    return line


def decode_partial_view(line: bytes) -> AggregatedView:
    """Decode and check a line. Raises `InvalidLineError` for anything that no node writes."""
    try:
        content = orjson.loads(line)["partial_view"]
        links: list[LinkRow] = content["links"]
        zones: list[ZoneRow] = content["zones"]
        circuits: list[CircuitRow] = content["shut"]
        recovered: list[int] = content["answered"]
        view = AggregatedView(NODE_TERM, 0)
        view.sequence = _number(content["seq"], MAX_TOTAL)
        view.fronts = _number(content["fronts"], MAX_TOTAL)
        view.load_ms = _number(content["load"], MAX_TOTAL)
        view.first_requests = _number(content["firsts"], MAX_TOTAL)
        view.retry_cost = _number(content["furthers"], MAX_TOTAL)
        view.rejected = _number(content["pushed"], MAX_TOTAL)
        view.links = {
            _number(link, MAX_LINK): LinkWork(_number(work_ms, MAX_TOTAL), _number(duration_ms, MAX_TOTAL))
            for link, work_ms, duration_ms in _bounded_list(links, MAX_ZONES + FILL_LINK_COUNT)
        }
        view.zone_loads = {
            _number(zone, MAX_ZONE): ZoneLoad(
                _load(load), _number(age_ms, UNKNOWN_AGE_MS), _number(prober, MAX_FRONT)
            )
            for zone, load, age_ms, prober in _bounded_list(zones, MAX_ZONES)
        }
        view.open_circuits = {
            _number(upstream, MAX_UPSTREAM): OpenCircuit(
                _number(reporters, MAX_REPORTING_FRONTS), _number(prober, MAX_FRONT)
            )
            for upstream, reporters, prober in _bounded_list(circuits, MAX_OPEN_CIRCUITS)
        }
        view.recovered = [
            _number(upstream, MAX_UPSTREAM) for upstream in _bounded_list(recovered, MAX_RECOVERED)
        ]
        return view
    except (ValueError, KeyError, TypeError) as error:
        raise InvalidLineError(f"not a partial view: {line[:80]!r}") from error


def _bounded_list(rows: list[Row], max_length: int) -> list[Row]:
    if not isinstance(rows, list) or len(rows) > max_length:
        raise ValueError("no list, or a longer one than any node writes")
    return rows


def _number(value: int, maximum: int) -> int:
    if type(value) is not int or not 0 <= value <= maximum:
        raise ValueError(f"{value!r} is not a number up to {maximum}")
    return value


def _load(value: float) -> float:
    if type(value) not in (int, float) or not 0 <= value <= MAX_TOTAL:
        raise ValueError(f"{value!r} is no load")
    return float(value)
