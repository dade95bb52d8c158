"""`marbleglade disk`: inspects and repairs a disk cache that no process has open."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from ..disk.disk_cache import DiskCache

CACHE_DIRECTORY = click.Path(exists=True, file_okay=False)
EXIT_CORRUPT = 1
EXIT_NOT_OPENED = 2
MIN_CAPACITY_BYTES = 1 << 20
UNLIMITED_BYTES_PER_S = 1e15


@contextmanager
def _open_cache(directory: str) -> Iterator[DiskCache]:
    """Open the cache in a directory and load all its entries. If it can't be opened, end the command."""
    from ..disk.disk_cache import DiskCache
    from ..disk.files import SegmentFiles
    from ..disk.index import Index
    from ..disk.write_budget import WriteBudget

    files = None
    try:
        files = SegmentFiles(directory)
        index = Index(directory)
        stored_bytes = sum(entry.size for _, entry in index.entries())
        capacity_bytes = max(MIN_CAPACITY_BYTES, 2 * stored_bytes)
        cache = DiskCache(files, index, capacity_bytes, WriteBudget(UNLIMITED_BYTES_PER_S, 1, 1))
    except OSError as error:
        if files:
            files.close()
        click.echo(f"marbleglade: {error}", err=True)
        sys.exit(EXIT_NOT_OPENED)
    try:
        while cache.load():
            pass
        yield cache
    finally:
        cache.close()


@click.group()
def disk() -> None:
    """Inspect and repair a disk cache while no process has it open.

    If the cache cannot be opened, for example because a running process has it open, the exit code is 2.
    """


@disk.command()
@click.argument("directory", type=CACHE_DIRECTORY)
def check(directory: str) -> None:
    """Read every part of the cache in DIRECTORY and drop corrupt ones. Exit code 1 if there were any.

    A torn tail is an invalid or incomplete record at the end of a segment.
    """
    with _open_cache(directory) as cache:
        parts = [part_id for part_id, _ in cache.stored_parts()]
        with click.progressbar(parts, label="checking", file=sys.stderr) as progress:
            valid = sum(cache.get(*part_id) is not None for part_id in progress)
        counters = cache.counters
        cache.checkpoint()
    click.echo(
        f"{valid} parts valid, {counters.corrupt} corrupt and dropped, {counters.purged} purged,"
        f" {counters.torn_tails} torn tails"
    )
    sys.exit(EXIT_CORRUPT if counters.corrupt else 0)


@disk.command()
@click.argument("directory", type=CACHE_DIRECTORY)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def stats(directory: str, as_json: bool) -> None:
    """Print statistics of the cache in DIRECTORY.

    They are the numbers of parts, objects, live bytes, segment bytes, segments and purge marks, the number of
    the last event, and the number of parts recovered from records appended after the last commit.
    """
    with _open_cache(directory) as cache:
        parts = list(cache.stored_parts())
        statistics = {
            "parts": len(parts),
            "objects": len({part_id.object_id for part_id, _ in parts}),
            "live_bytes": sum(entry.size for _, entry in parts),
            "segment_bytes": sum(cache.log.lengths.values()),
            "segments": len(cache.log.lengths),
            "purges": len(cache.purge_marks.objects) + len(cache.purge_marks.groups),
            "last_event": cache.last_event_number,
            "recovered": cache.counters.recovered,
        }
    if as_json:
        click.echo(json.dumps(statistics))
    else:
        for name, value in statistics.items():
            click.echo(f"{name:16}{value:>16}")


@disk.command(name="list")
@click.argument("directory", type=CACHE_DIRECTORY)
@click.option("--object", "object_hex", default="", help="List only the parts of this object, 16 hex digits.")
def list_(directory: str, object_hex: str) -> None:
    """List the parts in the cache in DIRECTORY: object, part, group, tag, issue time (Unix ms), bytes."""
    with _open_cache(directory) as cache:
        for part_id, entry in cache.stored_parts(int(object_hex, 16) if object_hex else None):
            click.echo(
                f"{part_id.object_id:016x} {part_id.part:6} {entry.group:4} {entry.tag:016x}"
                f" {entry.issued_ms:14} {entry.size:9}"
            )


@disk.command()
@click.argument("directory", type=CACHE_DIRECTORY)
@click.argument("object_hex", metavar="OBJECT")
def drop(directory: str, object_hex: str) -> None:
    """Drop all parts of OBJECT (16 hex digits) from the cache in DIRECTORY."""
    try:
        object_id = int(object_hex, 16)
    except ValueError:
        raise click.BadParameter("expected 16 hex digits", param_hint="OBJECT") from None
    with _open_cache(directory) as cache:
        parts = [part_id.part for part_id, _ in cache.stored_parts(object_id)]
        cache.remove(object_id, parts)
    click.echo(f"{len(parts)} parts dropped")
