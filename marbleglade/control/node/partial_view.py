"""The codec of partial load views, which control nodes exchange as JSON lines, without I/O.

A node connects to the address of another node and writes `partial-views`. The other node answers with a
greeting, as to a front, and then sends one partial view per line.
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
# Maximum values that fit into the fields of the datagrams between fronts.
MAX_LINK = 2**8 - 1
MAX_ZONE = 2**8 - 1
MAX_FRONT = 2**16 - 1
MAX_REPORTING_FRONTS = 2**16 - 1
MAX_UPSTREAM = 2**32 - 1

Row = TypeVar("Row")
# Row types of the JSON line: arrays with the fields in this order.
LinkRow = tuple[int, int, int]  # link, work in milliseconds, duration in milliseconds
ZoneRow = tuple[int, float, int, int]  # zone, load, age in milliseconds, prober
CircuitRow = tuple[int, int, int]  # upstream, reporters, prober


def encode_partial_view(view: AggregatedView) -> bytes:
    """Encode a partial view as one JSON line."""
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
    """Decode and validate a line. Raises `InvalidLineError` if it is not a valid partial view."""
    try:
        content = orjson.loads(line)["partial_view"]
        links: list[LinkRow] = content["links"]
        zones: list[ZoneRow] = content["zones"]
        circuits: list[CircuitRow] = content["shut"]
        recovered: list[int] = content["answered"]
        view = AggregatedView(NODE_TERM, 0)
        view.sequence = _checked_int(content["seq"], MAX_TOTAL)
        view.fronts = _checked_int(content["fronts"], MAX_TOTAL)
        view.load_ms = _checked_int(content["load"], MAX_TOTAL)
        view.first_requests = _checked_int(content["firsts"], MAX_TOTAL)
        view.retry_cost = _checked_int(content["furthers"], MAX_TOTAL)
        view.rejected = _checked_int(content["pushed"], MAX_TOTAL)
        view.links = {
            _checked_int(link, MAX_LINK): LinkWork(
                _checked_int(work_ms, MAX_TOTAL), _checked_int(duration_ms, MAX_TOTAL)
            )
            for link, work_ms, duration_ms in _checked_list(links, MAX_ZONES + FILL_LINK_COUNT)
        }
        view.zone_loads = {
            _checked_int(zone, MAX_ZONE): ZoneLoad(
                _checked_load(load), _checked_int(age_ms, UNKNOWN_AGE_MS), _checked_int(prober, MAX_FRONT)
            )
            for zone, load, age_ms, prober in _checked_list(zones, MAX_ZONES)
        }
        view.open_circuits = {
            _checked_int(upstream, MAX_UPSTREAM): OpenCircuit(
                _checked_int(reporters, MAX_REPORTING_FRONTS), _checked_int(prober, MAX_FRONT)
            )
            for upstream, reporters, prober in _checked_list(circuits, MAX_OPEN_CIRCUITS)
        }
        view.recovered = [
            _checked_int(upstream, MAX_UPSTREAM) for upstream in _checked_list(recovered, MAX_RECOVERED)
        ]
        return view
    except (ValueError, KeyError, TypeError) as error:
        raise InvalidLineError(f"not a valid partial view: {line[:80]!r}") from error


def _checked_list(rows: list[Row], max_length: int) -> list[Row]:
    if not isinstance(rows, list) or len(rows) > max_length:
        raise ValueError("not a list, or longer than the maximum length")
    return rows


def _checked_int(value: int, maximum: int) -> int:
    if type(value) is not int or not 0 <= value <= maximum:
        raise ValueError(f"{value!r} is not an integer from 0 to {maximum}")
    return value


def _checked_load(value: float) -> float:
    if type(value) not in (int, float) or not 0 <= value <= MAX_TOTAL:
        raise ValueError(f"{value!r} is not a load: expected a number from 0 to {MAX_TOTAL}")
    return float(value)
