"""The packages of the program form layers; a module imports only from its own layer and lower ones."""

from graphlib import CycleError, TopologicalSorter

import grimp
import pytest

# From the lowest layer to the highest. A module belongs to the entry with the longest matching prefix.
# Modules of the same layer may import each other.
LAYERS = (
    ("marbleglade.runtime", "marbleglade.textproto"),
    ("marbleglade.model",),
    ("marbleglade.settings",),
    ("marbleglade.state",),
    ("marbleglade.policy", "marbleglade.policy_driver", "marbleglade.policy_host"),
    ("marbleglade.protocols", "marbleglade.fleet", "marbleglade.maintenance"),
    ("marbleglade.transport",),
    (
        "marbleglade.request_handler",
        "marbleglade.request_log",
        "marbleglade.discovery_events",
        "marbleglade.upstream_monitor",
    ),
    ("marbleglade.disk", "marbleglade.deployment"),
    ("marbleglade.gateway", "marbleglade.control"),
    ("marbleglade.fleet.agent_adapter", "marbleglade.maintenance.adapter"),
    ("marbleglade.service",),
    ("marbleglade.testing", "marbleglade.simulator"),
    ("marbleglade.cli", "marbleglade.__main__"),
)
# Known imports from a higher layer: there are none, and none may be added.
KNOWN_UPWARD_IMPORTS: frozenset[tuple[str, str]] = frozenset()

# Packages without import cycles, including imports that are only for type checking. These are all packages
# but `model`, where a request lists its attempts and an attempt refers to its request.
PACKAGES_WITHOUT_CYCLES = (
    "marbleglade.cli",
    "marbleglade.control",
    "marbleglade.deployment",
    "marbleglade.disk",
    "marbleglade.fleet",
    "marbleglade.gateway",
    "marbleglade.maintenance",
    "marbleglade.policy",
    "marbleglade.protocols",
    "marbleglade.runtime",
    "marbleglade.service",
    "marbleglade.settings",
    "marbleglade.simulator",
    "marbleglade.state",
    "marbleglade.testing",
    "marbleglade.transport",
)


def layer_of(module):
    """The index of a module's layer; None if it belongs to none."""
    found = [
        (len(name), level)
        for level, names in enumerate(LAYERS)
        for name in names
        if module == name or module.startswith(f"{name}.")
    ]
    return max(found)[1] if found else None


@pytest.fixture(scope="module")
def graph():
    return grimp.build_graph("marbleglade", exclude_type_checking_imports=True, cache_dir=None)


@pytest.fixture(scope="module")
def graph_with_type_checking():
    return grimp.build_graph("marbleglade", exclude_type_checking_imports=False, cache_dir=None)


def cycle_in(graph, package):
    """The modules of an import cycle within a package; empty if there is none."""
    modules = {module for module in graph.modules if module == package or module.startswith(f"{package}.")}
    imports = {module: graph.find_modules_directly_imported_by(module) & modules for module in modules}
    try:
        TopologicalSorter(imports).prepare()
    except CycleError as error:
        return error.args[1]
    return []


def upward_imports(graph):
    """All pairs of a module and a module of a higher layer that it imports."""
    return {
        (module, imported)
        for module in graph.modules
        for imported in graph.find_modules_directly_imported_by(module)
        if layer_of(module) is not None and layer_of(imported) is not None
        if layer_of(imported) > layer_of(module)
    }


def test_every_module_belongs_to_a_layer(graph):
    assert {module for module in graph.modules if layer_of(module) is None} <= {"marbleglade"}


def test_no_unknown_import_from_a_higher_layer(graph):
    assert upward_imports(graph) - KNOWN_UPWARD_IMPORTS == set()


def test_each_known_upward_import_still_exists(graph):
    assert KNOWN_UPWARD_IMPORTS - upward_imports(graph) == set()


def test_an_upward_import_is_found(graph):
    graph.add_import(importer="marbleglade.runtime.clock", imported="marbleglade.service.front_process")
    try:
        assert ("marbleglade.runtime.clock", "marbleglade.service.front_process") in upward_imports(graph)
    finally:
        graph.remove_import(
            importer="marbleglade.runtime.clock", imported="marbleglade.service.front_process"
        )


@pytest.mark.parametrize("package", PACKAGES_WITHOUT_CYCLES)
def test_a_package_has_no_import_cycle(graph_with_type_checking, package):
    assert cycle_in(graph_with_type_checking, package) == []


def test_an_import_cycle_is_found(graph_with_type_checking):
    importer, imported = "marbleglade.gateway.request_journal", "marbleglade.gateway.responder"
    graph_with_type_checking.add_import(importer=importer, imported=imported)
    try:
        assert {importer, imported} <= set(cycle_in(graph_with_type_checking, "marbleglade.gateway"))
    finally:
        graph_with_type_checking.remove_import(importer=importer, imported=imported)
