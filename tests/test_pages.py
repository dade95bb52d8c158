"""The pages on the program and on incidents name only files, classes and tests that exist.

The roadmap is not checked, because it records the past and keeps the names of that time.
"""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
UNCHECKED_PAGES = {"ROADMAP.md"}
PAGES = [
    ROOT / "README.md",
    ROOT / "CONTRIBUTING.md",
    *(page for page in sorted((ROOT / "docs").glob("*.md")) if page.name not in UNCHECKED_PAGES),
    *sorted((ROOT / "docs/notes").glob("*.md")),
    *sorted((ROOT / "docs/incidents").glob("*.md")),
]
FILES = [
    f"/{path.relative_to(ROOT)}"
    for folder in ("marbleglade", "tests", "benchmarks", "deploy", "docs")
    for path in (ROOT / folder).rglob("*")
    if path.is_file()
] + [f"/{path.name}" for path in ROOT.iterdir()]
SOURCE = "\n".join(path.read_text() for path in (ROOT / "marbleglade").rglob("*.py"))


TEST_NAMES = {
    name
    for path in (ROOT / "tests").rglob("test_*.py")
    for name in re.findall(r"^\s*def test_(\w+)", path.read_text(), re.MULTILINE)
}


def code_spans(page):
    """The texts between single backquotes in a page."""
    return set(re.findall(r"`([^`\n]+)`", page.read_text()))


def missing_files(spans):
    """Paths of source files and pages that do not exist."""
    paths = {span for span in spans if re.fullmatch(r"[\w/.-]+\.(py|md|proto|textproto|toml)", span)}
    return {path for path in paths if not any(known.endswith(f"/{path.lstrip('/')}") for known in FILES)}


def missing_classes(spans):
    """CamelCase names, with or without an attribute, that the source code does not contain."""
    names = {
        part
        for span in spans
        if re.fullmatch(r"[A-Z][a-z]+(?:[A-Z][a-z]+)+(\.\w+)?", span)
        for part in span.split(".")
    }
    return {name for name in names if not re.search(rf"\b{name}\b", SOURCE)}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_a_page_names_only_what_exists(page):
    spans = code_spans(page)
    assert missing_files(spans) == set()
    assert missing_classes(spans) == set()


def test_what_does_not_exist_is_found():
    assert missing_files({"policy/no_such_module.py", "policy/policy.py"}) == {"policy/no_such_module.py"}
    assert missing_classes({"NoSuchClass", "PolicyDriver.no_such_method", "PolicyDriver"}) == {
        "NoSuchClass",
        "no_such_method",
    }


def quoted_tests(spans):
    """Quoted test names without `test_`: prefixes followed by dots, and full names of at least four words."""
    return {
        span
        for span in spans
        if re.fullmatch(r"[a-z0-9]+(_[a-z0-9]+)*\.\.\.|[a-z0-9]+(_[a-z0-9]+){3,}", span)
    }


def missing_tests(spans):
    """Quoted tests that do not exist; a prefix has to match at min_count one test."""
    quoted = quoted_tests(spans)
    prefixes = {quote for quote in quoted if quote.endswith("...")}
    return {quote for quote in quoted - prefixes if quote not in TEST_NAMES} | {
        quote
        for quote in prefixes
        if not any(name.startswith(quote.removesuffix("...")) for name in TEST_NAMES)
    }


@pytest.mark.parametrize(
    "page, min_count",
    [("docs/crossings.md", 50), ("docs/incidents/2026-12-lost-under-faults.md", 1)],
)
def test_each_test_that_a_page_quotes_exists(page, min_count):
    spans = code_spans(ROOT / page)
    assert len(quoted_tests(spans)) >= min_count
    assert missing_tests(spans) == set()


def test_a_quoted_test_that_does_not_exist_is_found():
    quotes = {
        "no_such_test_exists_at_all",
        "no_such_beginning...",
        "what_does_not_exist_is_found",
        "a_page_names_only...",
    }
    assert missing_tests(quotes) == {"no_such_test_exists_at_all", "no_such_beginning..."}
