"""The pages for operators explain each log event, counter and reason, and name no others."""

import ast
import re
from enum import Enum
from pathlib import Path

import pytest

from marbleglade.policy import rejection_reasons

ROOT = Path(__file__).parent.parent
NAMES_OF_PAGES = ("on-call", "fleet", "work", "control", "control-front", "gateway")
PAGES = [ROOT / "docs" / f"{name}.md" for name in NAMES_OF_PAGES]
SOURCES = [path.read_text() for path in sorted((ROOT / "marbleglade").rglob("*.py"))]
PLACEHOLDERS = {"RESULT", "REASON", "ERROR", "WHERE", "WHAT"}  # in the tables, for the last part of a name
RECEIVERS_OF_REASONS = (("give_up", "rejection"), ("reject_new", "driver"))
# Calls that emit a name: method, suffix of its receiver, index of the name argument, prefix of the result.
EMITTERS = [
    *((method, "log", 0, "event ") for method in ("info", "debug", "warning", "error")),
    ("log", "self", 0, "event "),
    ("add", "counters", 0, "counter "),
    *((method, "guard", 0, "counter exception.") for method in ("call", "record")),
    ("check", "counters", 1, "counter violated_invariant."),
    *((method, receiver, 1, "reason ") for method, receiver in RECEIVERS_OF_REASONS),
]


def string_literals(node=None):
    """The string string_literals that an expression can evaluate to."""
    branches = [node.body, node.orelse] if isinstance(node, ast.IfExp) else [node]
    return {each.value for each in branches if isinstance(each, ast.Constant) and isinstance(each.value, str)}


def emitted_names(tree):
    """The literal names that code emits, as `event NAME`, `counter NAME` or `reason NAME`."""
    # The method may also be passed as an argument, as in `spawn(guard.call, "name", ...)`.
    return {
        prefix + name
        for call in ast.walk(tree)
        if isinstance(call, ast.Call)
        for position, target in enumerate([call.func, *call.args])
        for method, receiver, index, prefix in EMITTERS
        if isinstance(target, ast.Attribute) and target.attr == method
        if ast.unparse(target.value).endswith(receiver)
        for name in string_literals(*call.args[position + index :][:1])
    }


NODES = [node for source in SOURCES for node in ast.walk(ast.parse(source))]
POLICY_REASONS = {
    f"reason {member.value}"
    for kind in vars(rejection_reasons).values()
    if isinstance(kind, type) and issubclass(kind, Enum)
    for member in kind
}
EMITTED_NAMES = POLICY_REASONS.union(*(emitted_names(ast.parse(source)) for source in SOURCES))
# Last parts of composed names by the expression that yields them; the last entry is any string literal.
NAME_ENDINGS = {
    ".name.lower()": {node.id.lower() for node in NODES if isinstance(node, ast.Name) and node.id.isupper()},
    ".__name__": {node.name for node in NODES if isinstance(node, ast.ClassDef)},
    "": {str(node.value).partition(":")[0] for node in NODES if isinstance(node, ast.Constant)},
}
NAME_PREFIXES = {  # first parts of composed names, with the key of their last parts in NAME_ENDINGS
    ("counter " + match[0], next(kind for kind in NAME_ENDINGS if kind in ast.unparse(node)))
    for node in NODES
    if isinstance(node, ast.JoinedStr) and isinstance(node.values[0], ast.Constant)
    if (match := re.fullmatch(r"[a-z_]+\.(\w+\.|\w+_)?", str(node.values[0].value)))
}


def first_cells(text, title):
    """Yield the first cells of all tables whose first column has a given title."""
    head = ""
    for line in text.splitlines():
        cell = re.split(r"(?<!\\)\|", line)[1].strip() if line.startswith("|") else ""
        head = (head or cell) if cell else ""
        if head == title != cell and not cell.startswith("---"):
            yield cell


def names_in_cell(cell):
    """Yield the names in a cell; `.name` gets the prefix of the name before it."""
    family = ""
    for span in re.findall(r"`([^`]+)`", cell):
        full = family + span if span.startswith(".") else span
        family = full.rpartition(".")[0]
        yield full


def explained_names(text):
    """The names in the tables of events, counters and reasons, in the format of `emitted_names`."""
    kinds = [(kind, cell) for kind in ("event", "counter", "reason") for cell in first_cells(text, kind)]
    return {f"{kind} {name}" for kind, cell in kinds for name in names_in_cell(cell)}


def name_exists(name):
    """Whether the code emits a name literally or can compose it."""
    endings = [(name.removeprefix(start), kind) for start, kind in NAME_PREFIXES if name.startswith(start)]
    return name in EMITTED_NAMES or any(
        ending in NAME_ENDINGS[kind] | PLACEHOLDERS for ending, kind in endings
    )


def stale_symptoms(text):
    """Counters, events, fields and message texts that a table of symptoms names and the code lacks."""
    cells = list(first_cells(text, "symptom"))
    named = {name for cell in cells for name in names_in_cell(cell) if re.fullmatch(r"[a-z_]+\.\w+", name)}
    fields = {name for name in named if name.rpartition(".")[2] in NAME_ENDINGS[""]}
    stale = {
        name
        for name in named - fields
        if not name_exists(f"event {name}") and not name_exists(f"counter {name}")
    }
    parts = {part.strip() for cell in cells for quote in cell.split('"')[1::2] for part in quote.split("...")}
    return stale | {part for part in parts if part not in "\n".join(SOURCES)}


def test_each_event_and_counter_is_explained():
    assert sorted(EMITTED_NAMES.difference(*(explained_names(page.read_text()) for page in PAGES))) == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_a_page_explains_only_what_exists(page):
    assert [name for name in sorted(explained_names(page.read_text())) if not name_exists(name)] == []
    assert stale_symptoms(page.read_text()) == set()


def test_what_does_not_exist_is_found():
    tree = ast.parse('spawn(log.info, "a"); counters.add("b.c" if d else "b.e")')
    assert emitted_names(tree) == {"event a", "counter b.c", "counter b.e"}
    assert explained_names("| counter |\n| --- |\n| `b.c`, `.e` |") == {"counter b.c", "counter b.e"}
    assert not any(map(name_exists, ("event no_such", "counter request.no_such", "counter no_such.served")))
    assert stale_symptoms('| symptom |\n| --- |\n| `a.gone`: "no text" |') == {"a.gone", "no text"}
