"""The type stubs of generated modules have the fields and enum values of their schemas."""

import ast
from pathlib import Path

import pytest

from marbleglade.control import configuration_pb2, control_pb2
from marbleglade.deployment import deployment_pb2
from marbleglade.fleet import fleet_pb2
from marbleglade.gateway import link_pb2
from marbleglade.maintenance import work_pb2


def schema_of(module):
    """The fields and enum values of each message according to its descriptor."""
    return {
        name: {field.name for field in message.fields}
        | {value.name for enum in message.enum_types for value in enum.values}
        for name, message in module.DESCRIPTOR.message_types_by_name.items()
    }


def stub_of(module):
    """The annotated names of each message in the module's stub, without the field number constants."""
    tree = ast.parse(Path(module.__file__).with_suffix(".pyi").read_text())
    return {
        definition.name: {
            statement.target.id
            for statement in definition.body
            if isinstance(statement, ast.AnnAssign) and not statement.target.id.endswith("_FIELD_NUMBER")
        }
        for definition in tree.body
        if isinstance(definition, ast.ClassDef) and definition.name in module.DESCRIPTOR.message_types_by_name
    }


@pytest.mark.parametrize(
    "module", [configuration_pb2, control_pb2, deployment_pb2, fleet_pb2, link_pb2, work_pb2]
)
def test_a_stub_has_the_fields_of_its_schema(module):
    assert stub_of(module) == schema_of(module)
