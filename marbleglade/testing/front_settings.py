"""Front settings in the operators' format, for fronts whose clients and upstreams are stand-ins."""

from __future__ import annotations

from collections.abc import Iterable

import orjson

from .sockets import address_text

ZONE = "z"
CACHE_KIND, PARENT_KIND, ORIGIN_KIND = "box", "hub", "root"
UPSTREAM_KINDS = [CACHE_KIND, PARENT_KIND, ORIGIN_KIND]

REQUEST_CLASSES: list[dict[str, object]] = [
    {
        "Aim": 600.0,
        "AimStretch": 2.0,
        "Deadline": 3000.0,
        "Name": "dish-media",
        "Repeat": "free",
        "Gain": 2.0,
    },
    {
        "Aim": 300.0,
        "AimStretch": 2.0,
        "Deadline": 2500.0,
        "Name": "menu-pages",
        "Repeat": "free",
        "Gain": 1.0,
    },
    {"Aim": 600.0, "Deadline": 2500.0, "Name": "orders", "Repeat": "single_shot", "Gain": 3.0},
]
LIMITS: dict[str, object] = {
    "Cancel": True,
    "MaxAttempts": 6,
    "MaxRetryAfter": 500.0,
    "RetryAfter": True,
    "ConnectTimeout": 400.0,
    "IdleClose": 30000.0,
    "StreamsPerConn": 100,
    "PeerMessages": True,
}
RULES: dict[str, float] = {
    "Cold": 2000.0,
    "ColdFrom": 0.2,
    "Fall": 500.0,
    "OverloadFactor": 3.0,
    "AnswerSlack": 50.0,
}
SPECIFICS: dict[str, object] = {
    "ParentKind": UPSTREAM_KINDS.index(PARENT_KIND),
    "StoreKind": UPSTREAM_KINDS.index(ORIGIN_KIND),
    "Sideways": "location",
    "CanJoin": True,
    "ClearedWithin": 6000.0,
    "UpperColdFrom": 0.2,
    "ParentWarmsIn": 2000.0,
    "ParentBreaksAt": 3.0,
}


def front_settings(
    fleet_size: int, rules: dict[str, float] | None = None, **limits: object
) -> dict[str, object]:
    """Return the settings of a front.

    Args:
        fleet_size: Number of fronts in the zone.
        rules: Entries that replace entries of `Rules`; times in ms.
        **limits: Entries that replace entries of `Limits`; times in ms.
    """
    return {
        "Classes": REQUEST_CLASSES,
        "MembershipMode": "push",
        "Resolution": 2.0,
        "Zone": 0,
        "Skus": UPSTREAM_KINDS,
        "Dcs": [ZONE],
        "Limits": LIMITS | limits,
        "Rules": RULES | (rules or {}),
        "Specifics": SPECIFICS
        | {
            "MaxAge": [0.0, 0.0, 0.0],
            "GraceFor": [0.0, 0.0, 0.0],
            "NeverKept": [False, False, True],
            "CrewByZone": [fleet_size],
            "OriginLimitFactor": 2.5,
        },
    }


def regional_front_settings(zone: str, kinds: list[str], rules: dict[str, float]) -> dict[str, object]:
    """Return front settings that match the gateway configuration of a stand-in region (`regions.py`).

    Args:
        zone: Zone of the front.
        kinds: Kinds of the caches, the parents and the origin, in this order.
        rules: Entries of `Rules`; times in ms.
    """
    classes = [{key: value for key, value in one.items() if key != "Gain"} for one in REQUEST_CLASSES[:2]]
    return {
        "Classes": classes,
        "MembershipMode": "push",
        "Resolution": 2.0,
        "Zone": 0,
        "Skus": kinds,
        "Dcs": [zone],
        "Limits": LIMITS | {"MaxAttempts": 4, "PeerMessages": False},
        "Rules": {"AnswerSlack": 0.0} | rules,
        "Specifics": SPECIFICS
        | {"MaxAge": [0.0, 5000.0], "GraceFor": [0.0, 0.0], "NeverKept": [False, False]},
    }


def front_configuration(
    name: str,
    listen: tuple[str, int],
    discovery: tuple[str, int],
    settings: dict[str, object],
    seed: str = "1",
    event_lines: Iterable[bytes] = (),
    memory_mb: int = 192,
    descriptors: int = 600,
) -> dict[str, object]:
    """Return the content of a front's configuration file.

    Args:
        name: Name of the front.
        listen: Listen address for clients.
        discovery: Address of the discovery service.
        settings: Settings in the operators' format.
        seed: Seed as hexadecimal digits.
        event_lines: Discovery events that the front has from its configuration at start.
        memory_mb: Memory limit in MB.
        descriptors: Limit of open files and sockets.
    """
    events = [orjson.loads(line) for line in event_lines]
    return {
        "name": name,
        "listen": address_text(listen),
        "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors},
        "coordinator": address_text(discovery),
        "known": {"index": len(events), "updates": events},
        "settings": settings,
    }
