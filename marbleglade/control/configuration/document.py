"""Parses the configuration document of a deployment, and checks it completely.

A document is protobuf text format with the schema `configuration.proto`. Fronts, control nodes and the
command line check it with this same code, and reject a document that has any error.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from google.protobuf import text_format

from ...maintenance.plan import MaintenancePlan
from ...maintenance.plan_file import build_plan, pack_plan
from ...maintenance.plan_file import find_errors as find_plan_errors
from ...textproto import parse_address
from ..configuration_pb2 import ConfigurationDocument
from ..configuration_pb2 import RegionConfiguration as RegionMessage
from ..messages import MAX_CONFIGURATION_BYTES
from ..settings import ControlSettings, address_errors

MAX_PEERS = 1 << 14
VERSION_LIMIT = 1 << 53
NESTED_TOO_DEEPLY = "it is nested too deeply"


class InvalidDocumentError(Exception):
    """The document is not valid; `errors` has one line for each error, which names the field."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


class ConfigurationRejectedError(Exception):
    """A front can't apply a document; `reason` is one line."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class MaintenanceConfiguration:
    """A maintenance plan, as an object and in the encoding that fronts send to each other."""

    plan: MaintenancePlan
    encoded: bytes


@dataclass(frozen=True, slots=True)
class RegionConfiguration:
    """The settings for the fronts of one region. A setting that is None or empty is left unchanged.

    Attributes:
        name: The name of the region.
        discovery: The address of the region's discovery service.
        peers: The addresses of all fronts of the tier, in its order.
        peers_all: The address that reaches all of these fronts with one datagram.
        maintenance: The maintenance plan.
    """

    name: str
    discovery: tuple[str, int] | None
    peers: tuple[tuple[str, int], ...]
    peers_all: tuple[str, int] | None
    maintenance: MaintenanceConfiguration | None


@dataclass(frozen=True, slots=True)
class Configuration:
    """The content of a valid configuration document."""

    deployment: str
    base_version: int
    regions: tuple[RegionConfiguration, ...]

    @property
    def version(self) -> int:
        """The version number that the document gets once it is chosen."""
        return self.base_version + 1

    def region(self, name: str) -> RegionConfiguration | None:
        """Return the settings for the fronts of a region; None if the document has none for it."""
        return next((region for region in self.regions if region.name == name), None)


def read(text: str, settings: ControlSettings) -> Configuration:
    """Parse a document, and check it against the settings of the deployment's control plane.

    Raises:
        InvalidDocumentError: The document is not valid; `errors` lists all errors found.
    """
    size = len(text.encode("utf-8", "surrogatepass"))
    if size > MAX_CONFIGURATION_BYTES:
        raise InvalidDocumentError([f"it has {size} bytes, {MAX_CONFIGURATION_BYTES} at most"])
    message, errors = _parse(text)
    errors += (" ".join(error.split()) for error in _document_errors(message, settings))
    if errors:
        raise InvalidDocumentError(errors)
    return Configuration(
        message.deployment, message.base_version, tuple(_build_region(region) for region in message.region)
    )


def _parse(text: str) -> tuple[ConfigurationDocument, list[str]]:
    """Parse the text format; return the message and its syntax errors.

    The parser stops at an unknown field. The text is then parsed again without unknown fields, so that the
    errors of known fields are reported too.
    """
    message = ConfigurationDocument()
    try:
        return text_format.Parse(text, message), []
    except (ValueError, text_format.ParseError) as error:
        syntax_error = " ".join(str(error).split())
    except RecursionError:
        raise InvalidDocumentError([NESTED_TOO_DEEPLY]) from None
    message = ConfigurationDocument()
    try:
        return text_format.Parse(text, message, allow_unknown_field=True), [syntax_error]
    except (ValueError, text_format.ParseError, RecursionError):
        raise InvalidDocumentError([syntax_error]) from None


def _document_errors(message: ConfigurationDocument, settings: ControlSettings) -> Iterator[str]:
    if message.deployment != settings.deployment:
        yield f"deployment: {message.deployment!r}, and this is {settings.deployment!r}"
    if message.base_version >= VERSION_LIMIT:
        yield f"base_version: {message.base_version} is too large"
    if not message.region:
        yield "region: there is none"
    known_regions = {region.name for region in settings.regions}
    seen: set[str] = set()
    for region in message.region:
        path = f"region {region.name!r}"
        if region.name not in known_regions:
            yield f"{path}: the control plane's settings do not list it"
        elif region.name in seen:
            yield f"{path}: it is listed twice"
        seen.add(region.name)
        yield from (f"{path}: {error}" for error in _region_errors(region))


def _region_errors(region: RegionMessage) -> Iterator[str]:
    for field in ("discovery", "peers_all"):
        if text := getattr(region, field):
            yield from address_errors(field, text)
    if len(region.peer) > MAX_PEERS:
        yield f"peer: there are {len(region.peer)}, {MAX_PEERS} at most"
        return
    yield from _peer_errors(region.peer)
    if region.peers_all and not region.peer:
        yield "peers_all: it is told without peers"
    if region.HasField("work"):
        yield from (f"work: {error}" for error in find_plan_errors(region.work))
        for job in region.work.job:
            if region.peer and job.HasField("front") and job.front >= len(region.peer):
                yield f"work: job names front {job.front}, and there are {len(region.peer)} peers"


def _peer_errors(peers: Sequence[str]) -> Iterator[str]:
    seen: set[tuple[str, int]] = set()
    for number, text in enumerate(peers):
        if errors := list(address_errors(f"peer {number}", text)):
            yield from errors
            continue
        if (peer := parse_address(text)) in seen:
            yield f"peer {number}: {text} is listed twice"
        seen.add(peer)


def _build_region(region: RegionMessage) -> RegionConfiguration:
    return RegionConfiguration(
        region.name,
        parse_address(region.discovery) if region.discovery else None,
        tuple(parse_address(text) for text in region.peer),
        parse_address(region.peers_all) if region.peers_all else None,
        MaintenanceConfiguration(build_plan(region.work), pack_plan(region.work))
        if region.HasField("work")
        else None,
    )
