"""Processor time of an endpoint list change at a front by the number of caches.

It covers decoding of the event line and its application to the policy.
"""

from __future__ import annotations

import orjson

from marbleglade.model.upstream import UpstreamState
from marbleglade.model.watch_event import EndpointListChange
from marbleglade.protocols.discovery_protocol import EventDecoder
from marbleglade.settings.vocabulary import SETTING_BY_STATE
from marbleglade.testing.front_settings import ZONE

from .fit import fit_slopes_by_name
from .hosted_front import SocketlessFront, endpoint_list, mean_processor_seconds
from .records import Point, Slope

COMMAND = "python -O -m benchmarks.capacity --only list"
RUNS, CHANGES_PER_RUN = 5, 20


def event_line(index: int, caches: int, full_list: bool) -> bytes:
    """Return a list change as the discovery service sends it: the full list, or one cache."""
    endpoints = endpoint_list(caches)
    if not full_list:
        endpoints = endpoints[:1]
        endpoints[0].state = (UpstreamState.ACTIVE, UpstreamState.DRAINING)[index % 2]
    servers = [
        {
            "id": one.id,
            "addr": ":".join(map(str, one.address)),
            "zone": ZONE,
            "kind": one.kind,
            "cell": one.cell,
            "state": SETTING_BY_STATE[one.state],
            "weight": 1,
            "started_ms": one.started_ms,
        }
        for one in endpoints
    ]
    content = {"index": index, "endpoints": {"version": index, "full": full_list, "servers": servers}}
    return orjson.dumps(content, option=orjson.OPT_APPEND_NEWLINE)


def measure(caches: int, full_list: bool) -> list[Point]:
    """Measure the processor time of one change and the bytes of its line."""
    front = SocketlessFront(caches)
    event_lines = [event_line(2 + number, caches, full_list) for number in range(CHANGES_PER_RUN)]

    def change(number: int) -> None:
        for event in EventDecoder().feed(event_lines[number]):
            if not isinstance(event, EndpointListChange):
                raise TypeError(f"expected an endpoint list change, decoded {event}")
            front.handler.events.apply(event)

    seconds = min(mean_processor_seconds(change, CHANGES_PER_RUN) for _ in range(RUNS))
    front.close()
    kind, at = "whole list" if full_list else "one cache changed", {"caches": caches}
    return [
        Point(f"list change {kind}", "front", "processor time of a change", "s", at, seconds, COMMAND),
        Point(f"list bytes {kind}", "front", "bytes of a change", "B", at, len(event_lines[0]), COMMAND),
    ]


def run(quick: bool) -> tuple[list[Point], list[Slope]]:
    """Measure both kinds of change at all sizes and fit the slopes by caches."""
    sizes = (8, 78) if quick else (8, 26, 78, 156)
    points = [
        point for full_list in (True, False) for caches in sizes for point in measure(caches, full_list)
    ]
    return points, fit_slopes_by_name(points, "caches")
