"""The tables and budget verdicts of the capacity page match the recorded measurements."""

from __future__ import annotations

import json
import re
import shutil

import pytest

from benchmarks.capacity import budgets, page
from benchmarks.capacity.budget_tables import is_within_limit, least_fronts_over_limit, rule_violations
from benchmarks.capacity.budgets import Budget
from benchmarks.capacity.fit import TooFewPointsError, fit_line, fit_slope
from benchmarks.capacity.markdown import VERDICTS
from benchmarks.capacity.number_format import with_unit
from benchmarks.capacity.records import (
    RECORD_FOLDER,
    CapacityRecord,
    Conditions,
    InvalidRecordError,
    Point,
    load_record,
    save_record,
)

NUMBER = re.compile(r"[0-9][0-9.,]*")
SOURCES = ("before", "front-machine", "totals", "failures", "slopes", "gateway", "purge-cost")


@pytest.fixture(scope="module")
def tables_on_page():
    """The tables in the text of the page, by name."""
    return page.page_tables(page.PAGE.read_text())


@pytest.fixture(scope="module")
def tables_from_records():
    """The tables generated from the recorded files, by name."""
    return page.generated_tables()


def cells(block: str) -> list[list[str]]:
    """Return the cells of a table's rows without its head."""
    lines = [one for one in block.splitlines() if one.startswith("|")]
    return [[cell.strip() for cell in one.strip("|").split("|")] for one in lines[2:]]


@pytest.mark.parametrize("name", page.TABLES)
def test_each_table_on_the_page_equals_the_generated_one(tables_on_page, tables_from_records, name):
    assert tables_on_page[name] == tables_from_records[name]


def test_each_budget_row_has_the_verdict_of_its_figure_and_limit(tables_on_page):
    recorded, scale = page.load_records()
    rows = {row[0]: row for row in cells(tables_on_page["before"])}
    found = budgets.budgets_without_control_plane(recorded)
    assert list(rows) == [one.name for one in found]
    for one in found:
        within = one.value is not None and one.value <= one.limit
        assert rows[one.name][3] == ("kept" if within else "**not kept**")
    for one in scale.budgets if scale else ():
        assert one.kept == is_within_limit(one)
        assert f"| {one.name} |" in tables_on_page["with-control"]
        row = next(row for row in cells(tables_on_page["with-control"]) if row[0] == one.name)
        assert row[3] == VERDICTS[None if one.measured is None else one.measured <= one.limit]


def test_unmet_budgets_and_rules_are_listed_before_the_first_section(tables_on_page):
    """Checks that the list is complete and that only the title precedes it."""
    recorded, scale = page.load_records()
    top = page.PAGE.read_text().partition("\n## ")[0]
    assert all(f"<!-- table: {name} -->" in top for name in ("first", "before", "with-control", "still"))
    for one in budgets.budgets_without_control_plane(recorded):
        if not one.is_within_limit and one.later_value is None and not (scale and one.scale_summary_field):
            assert f"- {one.name}: " in tables_on_page["still"]
    for one in scale.budgets if scale else ():
        assert (f"- {one.name}: " in tables_on_page["still"]) is not (is_within_limit(one) is True)
    for name, value, _ in rule_violations(scale) if scale and scale.budgets else ():
        assert (f"- rule: {name}: " in tables_on_page["still"]) is (value != 0)


def test_the_first_sentence_names_the_most_exceeded_budget(tables_on_page):
    recorded, _ = page.load_records()
    with_figure = [one for one in budgets.budgets_without_control_plane(recorded) if one.value is not None]
    worst = max(with_figure, key=lambda one: one.value / one.limit)
    assert worst.name in tables_on_page["first"].splitlines()[0]


def test_recorded_slopes_equal_those_fitted_to_the_recorded_points():
    """Detects a point or slope that was edited by hand in the record."""
    recorded = load_record(RECORD_FOLDER / page.CAPACITY_FILE)
    for slope in recorded.slopes:
        (size,) = slope.range
        points = [point for point in recorded.points if point.name == slope.name and size in point.at]
        refitted = fit_slope(points, size)
        assert refitted.intercept == pytest.approx(slope.intercept, rel=1e-9, abs=1e-15), slope.name
        assert refitted.per == pytest.approx(slope.per, rel=1e-9, abs=1e-15), slope.name
        assert refitted.error == pytest.approx(slope.error, rel=1e-6, abs=1e-12), slope.name
        assert (refitted.range, refitted.points, refitted.command) == (
            slope.range,
            slope.points,
            slope.command,
        )


@pytest.mark.parametrize("name", SOURCES)
def test_a_changed_figure_in_the_record_changes_the_generated_table(tmp_path, tables_from_records, name):
    for file in RECORD_FOLDER.glob("*.json"):
        shutil.copy(file, tmp_path)
    record = json.loads((tmp_path / page.CAPACITY_FILE).read_text())
    for one in (*record["points"], *record["slopes"]):
        for field in {"value", "intercept"} & set(one):
            one[field] = one[field] * 2 + 1
    (tmp_path / page.CAPACITY_FILE).write_text(json.dumps(record))
    assert page.generated_tables(tmp_path)[name] != tables_from_records[name]


@pytest.mark.parametrize("name", SOURCES)
def test_a_changed_figure_on_the_page_differs_from_the_generated_table(tables_from_records, name):
    text = page.PAGE.read_text()
    begin = text.index(f"<!-- table: {name} -->")
    row = text.index("\n| ", text.index("| --- |", begin))
    figure = NUMBER.search(text, row)
    changed = text[: figure.start()] + "9" + figure[0] + text[figure.end() :]
    assert page.page_tables(changed)[name] != tables_from_records[name]


@pytest.mark.usefixtures("tables_from_records")
def test_writing_the_page_restores_its_tables_and_changes_nothing_else(tmp_path):
    copy = tmp_path / "CAPACITY.md"
    text = page.PAGE.read_text()
    copy.write_text(text.replace("**not kept**", "kept"))
    page.write(copy)
    assert copy.read_text() == text


def test_a_mark_of_an_unknown_table_is_named_in_the_error(tmp_path):
    copy = tmp_path / "CAPACITY.md"
    copy.write_text(page.PAGE.read_text().replace("<!-- table: runs -->", "<!-- table: runz -->"))
    with pytest.raises(page.InvalidPageError, match=r"runs.*runz"):
        page.write(copy)


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"points": [], "slopes": [{"name": "x"}]}', "{"])
def test_the_error_of_an_invalid_record_names_its_file(tmp_path, text):
    path = tmp_path / "capacity.json"
    path.write_text(text)
    with pytest.raises(InvalidRecordError, match=r"capacity\.json"):
        load_record(path)


def point(size: float, value: float) -> Point:
    return Point("cost", "front", "bytes", "B", {"fronts": size}, value, "none")


def test_a_loaded_record_equals_the_saved_one(tmp_path):
    points = [point(1, 3.0), point(2, 5.5), point(4, 9.0)]
    conditions = Conditions("2026-12-02", "8 cores", True, 18.94, 27.43, "646ccc5b6e5c", False)
    recorded = CapacityRecord({"fleet": conditions}, points, [fit_slope(points, "fronts")])
    save_record(tmp_path / "some.json", recorded)
    assert load_record(tmp_path / "some.json") == recorded


def test_a_line_is_fitted_by_least_squares():
    found = fit_line([0, 1, 2, 3], [1, 3, 2, 4])
    assert (found.intercept, found.slope) == pytest.approx((1.3, 0.8))
    assert (found.error, found.intercept_error, found.slope_error) == pytest.approx(
        (0.9486833, 0.7937254, 0.4242641)
    )
    with pytest.raises(TooFewPointsError):
        fit_line([2, 2], [1, 3])


def budget(value: float | None) -> Budget:
    return Budget("bytes", 6000.0, "B/s", value, "none")


@pytest.mark.parametrize(
    "expected, doubled, least_fronts",
    [
        (73_000.0, 146_000.0, 61),  # 100 a front: 60 fronts are just within the limit
        (2_000.0, 2_000.0, None),
        (7_000.0, 7_000.0, 1),
        (3_000.0, 2_000.0, None),
        (730.0, 1460.0, 6001),
        (None, None, 1),
    ],
)
def test_least_number_of_fronts_that_exceeds_a_budget(expected, doubled, least_fronts):
    assert least_fronts_over_limit(budget(expected), budget(doubled)) == least_fronts


@pytest.mark.parametrize(
    "value, unit, text",
    [
        (0.0, "B", "0 B"),
        (56_789.0, "B/s", "56.8 kB/s"),
        (999.9, "B", "1 kB"),
        (0.002, "B/s", "0.002 B/s"),
        (0.00325, "s", "3.25 ms"),
        (-5.55e-05, "s", "-55.5 µs"),
        (1460.0, "1/s", "1,460 1/s"),
        (729.0, "1", "729"),
        (0.0948, "core", "0.0948 core"),
    ],
)
def test_figures_are_formatted_with_three_digits_and_a_unit_prefix(value, unit, text):
    assert with_unit(value, unit) == text
