"""Reads a deployment file in protobuf text format and fills in defaults."""

from __future__ import annotations

from dataclasses import dataclass

from google.protobuf import text_format

from ..textproto import parse_file
from .checks import find_errors
from .deployment_pb2 import Deployment, Gateway, Region

MAX_FILE_BYTES = 1 << 20
# Values of absent fields, which the comments of deployment.proto state as well.
DEFAULTS: dict[str, dict[str, float]] = {
    "limits": {
        "memory": 192 << 20,
        "descriptors": 1024,
        "most_launches": 4,
        "most_open": 0,
        "longest_pause_ms": 500.0,
        "pace": 0.0,
        "width": 0.0,
        "connect_ms": 400.0,
        "idle_ms": 30_000.0,
    },
    "rules": {
        "cold_share": 0.2,
        "cold_ms": 10_000.0,
        "cold_factor": 3.0,
        "fall_ms": 1000.0,
        "clear_ms": 6000.0,
        "heard_ratio": 2.0,
    },
    "link": {
        "beat_ms": 100.0,
        "silent_ms": 400.0,
        "drift_ppm": 500.0,
        "book_carries": 1 << 14,
        "book_bytes": 32 << 20,
        "book": True,
    },
}


class InvalidDeploymentError(Exception):
    """The deployment can't be used; `errors` has one line per reason."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


@dataclass(slots=True)
class LocalDeployment:
    """A deployment from the point of view of one of its gateways.

    Attributes:
        configuration: The content of the file with defaults filled in.
        region: The region of the local gateway.
        gateway: The local gateway, which this process runs.
    """

    configuration: Deployment
    region: Region
    gateway: Gateway

    @property
    def remote_regions(self) -> list[Region]:
        """All regions except the local one, in the order of the file."""
        return [region for region in self.configuration.regions if region.name != self.region.name]


def load(path: str) -> Deployment:
    """Read the file at `path` and fill in defaults, without checking the values.

    Raises:
        InvalidDeploymentError: The file can't be read or parsed.
    """
    try:
        deployment = parse_file(path, Deployment(), MAX_FILE_BYTES)
    except ValueError as error:
        raise InvalidDeploymentError([str(error)]) from error
    for section_name, defaults in DEFAULTS.items():
        section = getattr(deployment, section_name)
        for field, value in defaults.items():
            if not section.HasField(field):
                setattr(section, field, value)
    return deployment


def read(path: str, name: str = "") -> LocalDeployment:
    """Read and check a deployment for one of its gateways.

    Args:
        path: The deployment file.
        name: Name of the local gateway; if empty, the field `self` of the file is used.

    Raises:
        InvalidDeploymentError: The file can't be read, has errors, or doesn't list the local gateway.
    """
    deployment = load(path)
    errors = find_errors(deployment)
    name = name or deployment.self
    matches = [
        (region, gateway)
        for region in deployment.regions
        for gateway in region.gateways
        if gateway.name == name
    ]
    if not name:
        errors.append("self: is missing, and no gateway name was given otherwise")
    elif not matches and name != deployment.self:
        errors.append(f"no gateway is named {name!r}")
    if errors:
        raise InvalidDeploymentError(errors)
    return LocalDeployment(deployment, *matches[0])


def to_text(deployment: Deployment) -> str:
    """Return a deployment in the text format that `load` reads."""
    text: str = text_format.MessageToString(deployment, as_utf8=True)
    return text
