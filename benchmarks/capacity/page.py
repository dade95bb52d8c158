"""The capacity page, whose tables are between marks and are generated from the recorded files alone."""

from __future__ import annotations

import re
from pathlib import Path

from .records import RECORD_FOLDER, CapacityRecord, InvalidRecordError, load_record
from .scale_record import ScaleRecord, load_scale
from .tables import TABLES

PAGE = Path(__file__).parent.parent.parent / "docs" / "CAPACITY.md"
CAPACITY_FILE, SCALE_FILE = "capacity.json", "scale.json"
TABLE_BLOCK = re.compile(r"(<!-- table: ([a-z-]+) -->\n)(.*?)(<!-- end -->)", re.DOTALL)


class InvalidPageError(ValueError):
    """The marks of the page name an unknown table or lack a known one."""


def load_records(folder: Path = RECORD_FOLDER) -> tuple[CapacityRecord, ScaleRecord | None]:
    """Load the records for the page; the scale run may be missing. Raises `InvalidRecordError`."""
    path = folder / SCALE_FILE
    return load_record(folder / CAPACITY_FILE), load_scale(path) if path.exists() else None


def page_tables(text: str) -> dict[str, str]:
    """Return the tables in the text of a page by name. Raises `InvalidPageError`."""
    found = {name: body for _, name, body, _ in TABLE_BLOCK.findall(text)}
    if set(found) != set(TABLES):
        raise InvalidPageError(
            f"marks of the page and known tables differ in {sorted(set(found) ^ set(TABLES))}"
        )
    return found


def generated_tables(folder: Path = RECORD_FOLDER) -> dict[str, str]:
    """Return all tables by name, generated from the recorded files. Raises `InvalidRecordError`."""
    measured, scale = load_records(folder)
    return {name: "\n".join(make(measured, scale)) + "\n" for name, make in TABLES.items()}


def write(path: Path = PAGE, folder: Path = RECORD_FOLDER) -> None:
    """Replace the tables of the page by generated ones. Raises `InvalidPageError`, `InvalidRecordError`."""
    text, generated = path.read_text(), generated_tables(folder)
    page_tables(text)
    path.write_text(TABLE_BLOCK.sub(lambda found: found[1] + generated[found[2]] + found[4], text))


__all__ = [
    "InvalidPageError",
    "InvalidRecordError",
    "generated_tables",
    "load_records",
    "page_tables",
    "write",
]
