"""Configuration of a front: the JSON file at the path in GW_CONFIG, read at startup and on reload."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import NamedTuple

import orjson

from ..model.watch_event import EndpointListChange, Purge, UnknownEvent
from ..protocols.discovery_protocol import parse_event
from ..runtime.addresses import parse_address
from ..runtime.errors import InvalidConfigurationError, UnreadableConfigurationError
from ..settings.environment import Environment, read_environment
from ..settings.reader import InvalidSettingError, JsonObject, SettingsReader

Address = tuple[str, int]  # host and port

# Top-level keys of the file whose values a running front can't change.
FIXED_FIELDS = (
    "name",
    "listen",
    "seed",
    "limits",
    "settings",
    "peer_listen",
    "flow_bytes_per_s",
    "link_bytes_per_s",
)

MIN_SOCKETS = 16  # with fewer, the share of some component would be no descriptor at all
MEGABYTE = 1 << 20
REQUIRED_FIELDS = ("name", "listen", "seed", "limits", "coordinator", "known", "settings")


class StartupConfiguration(NamedTuple):
    """The configuration with which a front is started.

    Attributes:
        name: Name of the front.
        listen: Address on which the front accepts clients.
        memory_bytes: Memory limit of the process, bytes.
        max_descriptors: Limit on the number of open file descriptors of the process.
        discovery_address: Address of the discovery service.
        flow_bytes_per_s: Throughput of one transfer from the local cache, bytes per second; 0 if not set.
        peer_listen: Address on which the front receives datagrams of peers; None if it has no peers.
        peers: Addresses of the peers.
        peers_all: Address that reaches all peers; None if there is none.
        last_event: Number of the last discovery event that `known_events` includes.
        known_events: Discovery events up to `last_event`.
        environment: The values of the key `settings`, with the seed and the link capacity.
        fixed_settings: Settings that a reload can't change, as JSON, for comparison on reload.
        deployment: Identity of the deployment, see `deployment_identity`.
    """

    name: str
    listen: Address
    memory_bytes: int
    max_descriptors: int
    discovery_address: Address
    flow_bytes_per_s: int
    peer_listen: Address | None
    peers: list[Address]
    peers_all: Address | None
    last_event: int
    known_events: list[EndpointListChange | Purge]
    environment: Environment
    fixed_settings: dict[str, bytes]
    deployment: bytes


class ReloadedConfiguration(NamedTuple):
    """The parts of a new configuration that a running front applies, and the fixed settings to compare.

    Attributes are as in `StartupConfiguration`, except that `peers` is None if the file lists no peers.
    """

    discovery_address: Address
    known_events: list[EndpointListChange | Purge | UnknownEvent]
    peers: list[Address] | None
    peers_all: Address | None
    fixed_settings: dict[str, bytes]
    deployment: bytes


def deployment_identity(configuration: JsonObject) -> bytes:
    """Return the values that are equal in all configurations of one deployment, as JSON.

    These are the names of the request classes, zones and machine kinds. The result is empty if the
    settings lack the request classes.
    """
    settings = configuration.get("settings")
    classes = settings.get("Classes") if isinstance(settings, dict) else None
    if not isinstance(settings, dict) or not isinstance(classes, list):
        return b""
    names = [entry.get("Name") if isinstance(entry, dict) else entry for entry in classes]
    return orjson.dumps([names, settings.get("Dcs"), settings.get("Skus")])


def fixed_settings(configuration: JsonObject) -> dict[str, bytes]:
    """Return the settings that a reload can't change, each as JSON, by key."""
    return {
        field: orjson.dumps(configuration[field], option=orjson.OPT_SORT_KEYS)
        for field in FIXED_FIELDS
        if field in configuration
    }


def load_file(environ: Mapping[str, str]) -> JsonObject:
    """Load the configuration file at the path in GW_CONFIG.

    Raises:
        UnreadableConfigurationError: The file can't be read or is not JSON, for example because it is just
            being written.
        InvalidConfigurationError: GW_CONFIG is not set, or the file does not contain a JSON object.
    """
    path = environ.get("GW_CONFIG")
    if not path:
        raise InvalidConfigurationError("GW_CONFIG is not set: expected a path of a configuration file")
    try:
        with open(path, "rb") as file:
            configuration = orjson.loads(file.read())
    except (OSError, ValueError) as error:
        raise UnreadableConfigurationError(f"the file named by GW_CONFIG can't be read: {error}") from error
    if not isinstance(configuration, dict):
        raise InvalidConfigurationError("the configuration file must contain a JSON object")
    return configuration


def read_reloaded_configuration(environ: Mapping[str, str]) -> ReloadedConfiguration:
    """Read the configuration for a reload.

    Raises:
        InvalidConfigurationError: It is invalid; the message names the key.
    """
    configuration = load_file(environ)
    discovery_address = _read_address(configuration, "coordinator")
    with _convert_errors("known"):
        updates = (configuration.get("known") or {}).get("updates") or ()
        known_events = [parse_event(update) for update in updates]
    peers_fields = "peers or peers_all"
    return ReloadedConfiguration(
        discovery_address=discovery_address,
        known_events=known_events,
        peers=_read_addresses(configuration, "peers", peers_fields) or None,
        peers_all=_read_optional_address(configuration, "peers_all", peers_fields),
        fixed_settings=fixed_settings(configuration),
        deployment=deployment_identity(configuration),
    )


def read_startup_configuration(environ: Mapping[str, str]) -> StartupConfiguration:
    """Read the configuration at startup.

    Raises:
        InvalidConfigurationError: It is invalid; the one-line message names the first invalid key, in the
            order in which this function reads the keys.
    """
    configuration = load_file(environ)
    for field in REQUIRED_FIELDS:
        if field not in configuration:
            raise InvalidConfigurationError(f"the configuration file lacks the required key {field}")
    address_fields = "peer_listen or peers_all"
    return StartupConfiguration(
        environment=_read_environment(configuration),
        flow_bytes_per_s=_read_rate(configuration, "flow_bytes_per_s"),
        memory_bytes=_read_limit(configuration, "memory_mb", 1) * MEGABYTE,
        max_descriptors=_read_limit(configuration, "sockets", MIN_SOCKETS),
        listen=_read_address(configuration, "listen"),
        discovery_address=_read_address(configuration, "coordinator"),
        last_event=_read_last_event(configuration),
        known_events=_read_known_events(configuration),
        peers=_read_addresses(configuration, "peers", "peers"),
        peer_listen=_read_optional_address(configuration, "peer_listen", address_fields),
        peers_all=_read_optional_address(configuration, "peers_all", address_fields),
        name=str(configuration["name"]),
        fixed_settings=fixed_settings(configuration),
        deployment=deployment_identity(configuration),
    )


@contextmanager
def _convert_errors(fields: str) -> Iterator[None]:
    """Convert errors raised in the block to `InvalidConfigurationError`, whose message names the fields."""
    try:
        yield
    except InvalidSettingError as error:
        raise InvalidConfigurationError(str(error)) from error
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise InvalidConfigurationError(f"invalid {fields} in the configuration file: {error!r}") from error


def _read_environment(configuration: JsonObject) -> Environment:
    with _convert_errors("seed"):
        seed = int(str(configuration["seed"]), 16)
    flow_rate = _read_rate(configuration, "flow_bytes_per_s")
    link_rate = _read_rate(configuration, "link_bytes_per_s")
    # If the link's throughput is not configured, the link is assumed to carry one transfer at a time.
    link_capacity = (link_rate or flow_rate) / flow_rate if flow_rate else 0.0
    with _convert_errors("settings"):
        return read_environment(configuration["settings"], seed, link_capacity)


def _read_rate(configuration: JsonObject, field: str) -> int:
    with _convert_errors("flow_bytes_per_s or link_bytes_per_s"):
        return SettingsReader(configuration, "").optional_integer(field)


def _read_limit(configuration: JsonObject, field: str, minimum: int) -> int:
    with _convert_errors("limits"):
        return SettingsReader(configuration["limits"], "limits.").integer(field, minimum)


def _read_last_event(configuration: JsonObject) -> int:
    with _convert_errors("known"):
        return SettingsReader(configuration["known"], "known.").integer("index")


def _read_known_events(configuration: JsonObject) -> list[EndpointListChange | Purge]:
    with _convert_errors("known"):
        events = [parse_event(update) for update in configuration["known"]["updates"]]
    return [event for event in events if not isinstance(event, UnknownEvent)]


def _read_address(configuration: JsonObject, field: str) -> Address:
    with _convert_errors(field):
        return parse_address(configuration[field])


def _read_addresses(configuration: JsonObject, field: str, fields: str) -> list[Address]:
    with _convert_errors(fields):
        return [parse_address(text) for text in configuration.get(field) or ()]


def _read_optional_address(configuration: JsonObject, field: str, fields: str) -> Address | None:
    with _convert_errors(fields):
        return parse_address(configuration[field]) if configuration.get(field) else None
