"""Tables in Markdown."""

from __future__ import annotations

from collections.abc import Iterable

VERDICTS = {True: "kept", False: "**not kept**", None: "not measured"}
"""Text by whether a budget is kept; None: there is no figure."""


def table(head: Iterable[str], body: Iterable[Iterable[str]]) -> list[str]:
    """Return the lines of a table."""
    head = list(head)
    return [_line(head), _line("---" for _ in head), *map(_line, body)]


def _line(cells: Iterable[str]) -> str:
    return f"| {' | '.join(cells)} |"
