"""`marbleglade timeline`: prints the events of one request from a log written with MARBLEGLADE_DEBUG=1."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from typing import BinaryIO

import click
import orjson

from .front_logs import LogRecord

COMMON_FIELDS = ("at", "front", "event", "trace")  # printed in columns or omitted, so not listed as details
CONNECTION_EVENTS = ("cancelled", "client_left", "client_closed")
FRONT_EVENTS = ("loop_late", "endpoints", "watch", "stopping", "ready")


def request_events(lines: Iterable[bytes], trace: str) -> Iterator[LogRecord]:
    """Yield the events of a request in log order, with related events until the request is finished.

    Related events are those of the client's connection and of the front as a whole. Lines that are not JSON
    objects are skipped, as other programs may write to the same file.
    """
    client: tuple[str, int] | None = None
    tag, front, ended = 0, "", False
    for line in lines:
        try:
            event = orjson.loads(line)
        except orjson.JSONDecodeError:
            continue
        if not isinstance(event, dict) or "event" not in event:
            continue
        if event.get("trace") == trace:
            front = event.get("front", "")
            if event["event"] == "read":
                client, tag, ended = (front, event["client"]), event["tag"], False
            ended = event["event"] == "finished"
            yield event
        elif client and not ended and event.get("front") == front:
            same_client = (front, event.get("client")) == client
            same_request = same_client and event.get("tag", tag) == tag
            if event["event"] in FRONT_EVENTS or (same_request and event["event"] in CONNECTION_EVENTS):
                yield event


def format_events(events: Iterable[LogRecord]) -> Iterator[str]:
    """Yield a line for each event, with the milliseconds since the first event."""
    first_at = None
    for event in events:
        first_at = event["at"] if first_at is None else first_at
        details = " ".join(f"{key}={value}" for key, value in event.items() if key not in COMMON_FIELDS)
        yield f"{event['at'] - first_at:+7d} ms  {event.get('front', ''):8} {event['event']:14} {details}"


@click.command()
@click.argument("trace")
@click.argument("log", type=click.File("rb"), default="-")
def timeline(trace: str, log: BinaryIO) -> None:
    """Print the events of the request with the trace id TRACE from LOG, in their order.

    If LOG is absent, standard input is read. The front has to run with MARBLEGLADE_DEBUG=1. The exit code is
    1 if the log has no events of the request.
    """
    found = False
    for line in format_events(request_events(log, trace)):
        found = True
        click.echo(line)
    if not found:
        click.echo(f"marbleglade: no event of request {trace}; was MARBLEGLADE_DEBUG=1 set?", err=True)
        sys.exit(1)
