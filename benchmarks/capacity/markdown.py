"""Tables in Markdown."""

from __future__ import annotations

from collections.abc import Iterable

VERDICTS = {True: "kept", False: "**not kept**", None: "not measured"}
"""The word for a budget: kept, not kept, or without a figure."""


def table(head: Iterable[str], body: Iterable[Iterable[str]]) -> list[str]:
    """The lines of a table."""
    head = list(head)
    return [_line(head), _line("---" for _ in head), *map(_line, body)]


def _line(cells: Iterable[str]) -> str:
    return f"| {' | '.join(cells)} |"
