"""Settings and configurations of fronts, as operators write them."""

from typing import Any

from marbleglade.testing.front_settings import LIMITS, UPSTREAM_KINDS
from marbleglade.testing.front_settings import front_configuration as usual_configuration
from marbleglade.testing.sockets import address_text

FRONT_SETTINGS: dict[str, Any] = {
    "Classes": [
        {
            "Aim": 300.0,
            "AimStretch": 2.0,
            "Deadline": 2500.0,
            "Gain": 1.0,
            "Group": "all",
            "KeyTtl": 5000.0,
            "Name": "page",
            "Repeat": "free",
        }
    ],
    "Limits": LIMITS,
    "MembershipMode": "push",
    "Resolution": 2.0,
    "Unknown": {"Odd": 1},
    "Zone": 1,
    "Skus": UPSTREAM_KINDS,
    "Dcs": ["hubs", "z"],
    "Rules": {"Cold": 10000.0, "ColdFrom": 0.2, "Fall": 1000.0, "OverloadFactor": 3.0, "AnswerSlack": 8.0},
    "Specifics": {
        "MaxAge": [0.0],
        "GraceFor": [0.0],
        "NeverKept": [False],
        "ParentKind": 1,
        "StoreKind": 2,
        "Sideways": "location",
        "Tells": "none",
        "OneFlowKbPerS": 1000.0,
    },
}

PAGE, ORDER, PAYMENT = "page", "order", "payment"  # idempotent, non-idempotent, idempotent by key
REQUEST_TIMEOUT_MS = 20_000  # default timeout of requests and deadline of each class
LATENCY_OBJECTIVE_MS = 10_000.0  # long, because the policy starts no attempt once it has passed
DESCRIPTORS = 300
UNUSED_ADDRESS = ("127.0.0.1", 9)  # an address at which no process listens


def class_settings(name: str, repeat: str, **more: object) -> dict[str, Any]:
    """One entry of `Classes` in the settings; times are in ms."""
    entry = {
        "Aim": LATENCY_OBJECTIVE_MS,
        "AimStretch": 2.0,
        "Deadline": float(REQUEST_TIMEOUT_MS),
        "Gain": 1.0,
    }
    return entry | {"Name": name, "Repeat": repeat, "Group": "all"} | more


def front_settings(
    limits: dict[str, object] | None = None,
    payment: dict[str, object] | None = None,
    page: dict[str, object] | None = None,
    report: dict[str, object] | None = None,
) -> dict[str, Any]:
    """Settings with three request classes: idempotent, non-idempotent and idempotent by key.

    Args:
        limits: Entries that replace those of `Limits`; times are in ms.
        payment: Entries of the class that is idempotent by key, such as `KeyTtl` and `Group`.
        page: Entries of the idempotent class.
        report: The `Report` entry, which describes how caches report their load.
    """
    classes = [
        class_settings(PAGE, "free", **(page or {})),
        class_settings(ORDER, "single_shot"),
        class_settings(PAYMENT, "guarded", **({"KeyTtl": 5000.0} | (payment or {}))),
    ]
    cached = {
        "MaxAge": [600_000.0, 0.0, 0.0],
        "GraceFor": [0.0, 0.0, 0.0],
        "NeverKept": [False, True, True],
        "ClearedWithin": 6000.0,
    }
    return FRONT_SETTINGS | {
        "Classes": classes,
        "Limits": LIMITS | {"PeerMessages": False} | (limits or {}),
        "Report": report or {},
        "Specifics": FRONT_SETTINGS["Specifics"] | cached,
    }


def endpoint_entry(
    id: str,
    address: tuple[str, int] = UNUSED_ADDRESS,
    kind: str = "box",
    cell: int = 0,
    state: str = "active",
    started_ms: int = 0,
) -> dict[str, Any]:
    """An entry of an endpoint list."""
    return {
        "id": id,
        "addr": address_text(address),
        "zone": "z" if kind == "box" else "hubs",
        "kind": kind,
        "cell": cell,
        "state": state,
        "weight": 1,
        "started_ms": started_ms,
    }


def front_configuration(**changes: object) -> dict[str, Any]:
    """A front configuration with one cache, one parent and one origin; `changes` replaces entries."""
    servers = [endpoint_entry(id, kind=kind) for id, kind in (("s1", "box"), ("h1", "hub"), ("o1", "root"))]
    endpoints = {"index": 1, "endpoints": {"version": 1, "full": True, "servers": servers}}
    known = {"index": 2, "updates": [endpoints, {"index": 2, "evict": {"shard": 4, "unix_ms": 5}}]}
    listen, discovery, seed = ("127.0.0.1", 4100), ("127.0.0.1", 9092), "8c1f30d27a5be964"
    usual = usual_configuration("n3", listen, discovery, FRONT_SETTINGS, seed, descriptors=DESCRIPTORS)
    return usual | {"unknown": 1, "known": known} | changes
