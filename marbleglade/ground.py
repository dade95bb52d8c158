"""Translates the settings of an instance, once: the `Ground` that decisions read, and what the doors need.

The drill adapter and the front on sockets are handed the same object and share this one reading of it.
"""

from __future__ import annotations

from dataclasses import dataclass

from .interface import Cache, Ground, Group, Profile, Repeat, Role, State

REPEATS = {"free": Repeat.PURE, "guarded": Repeat.RECEIPTED, "single_shot": Repeat.EFFECTFUL}
STATES = {"active": State.ACTIVE, "leaving": State.LEAVING, "left": State.LEFT}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}


class Missing(ValueError):
    """A setting that is needed is absent or of the wrong shape."""


@dataclass(slots=True)
class Surroundings:
    """What an instance is told of where it stands: the ground, and what names and limits mean at the door."""

    ground: Ground
    profiles: dict[str, Profile]
    parent_kind: int
    origin_kind: int
    kinds: list[str]
    zones: list[str]
    connect_timeout: int
    idle_close: int
    streams: int        # errands that one connection to a cache carries at once
    most_open: int
    answer_slack: int
    peer_messages: bool

    def role(self, kind: int) -> Role:
        """What a machine kind, by its place among the kinds, is for."""
        return {self.parent_kind: Role.PARENT, self.origin_kind: Role.ORIGIN}.get(kind, Role.CACHE)


def file_report(cache: Cache, report: dict[str, float], now: int) -> None:
    """What decisions read of a load report."""
    if "x1" in report:
        cache.crowd, cache.reported = report["x1"], now


class Reader:
    """One object of the settings; a needed key that is absent is named, an unknown one ignored."""

    def __init__(self, value: object, path: str) -> None:
        if not isinstance(value, dict):
            raise Missing(f"setting {path or 'Options'} is no object")
        self.value, self.path = value, path

    def need(self, key: str, kind: type | tuple[type, ...] = (int, float)):
        if not isinstance(self.value.get(key), kind):
            raise Missing(f"setting {self.path}{key} is missing or malformed")
        return self.value[key]

    def time(self, key: str) -> int:
        return round(self.need(key) * 1e6)

    def optional_time(self, key: str) -> int:
        return self.time(key) if self.value.get(key) is not None else 0

    def within(self, key: str) -> Reader:
        return Reader(self.value.get(key), f"{self.path}{key}.")


def at(values: list, place: int, other):
    return values[place] if place < len(values) else other


def read_ground(settings: object, seed: int, own_width: float = 0.0) -> Surroundings:
    top = Reader(settings, "")
    limits, rules, own = top.within("Limits"), top.within("Rules"), top.within("Specifics")
    reports = top.value.get("Report") or {}
    fresh, grace = own.need("MaxAge", list), own.need("GraceFor", list)
    never_kept, zone = own.need("NeverKept", list), int(top.need("Zone"))
    profiles, names = [], []
    for place, value in enumerate(top.need("Classes", list)):
        one = Reader(value, f"Classes[{place}].")
        repeat, group = one.need("Repeat", str), one.value.get("Group", "all")
        if repeat not in REPEATS or group not in GROUPS:
            raise Missing(f"setting Classes[{place}].Repeat or Group is unknown")
        names.append(str(one.value.get("Name", place)))
        profiles.append(Profile(
            agreed=one.time("Aim"), stretch=one.value.get("AimStretch") or 0.0,
            client_timeout=one.time("Deadline"),
            repeat=REPEATS[repeat], group=GROUPS[group],
            window=one.optional_time("KeyTtl"),
            fresh=round(at(fresh, place, 0) * 1e6), grace=round(at(grace, place, 0) * 1e6),
            never_kept=bool(at(never_kept, place, False)), credit=float(one.value.get("Gain") or 1.0)))
    ground = Ground(
        profiles=profiles, seed=seed, zone=zone,
        crew=max(1, at(own.value.get("CrewByZone") or [], zone, 1)),
        pace_kb_s=own.value.get("OneFlowKbPerS") or 0.0,
        resolution=top.time("Resolution"), cold_share=rules.need("ColdFrom"), cold_time=rules.time("Cold"),
        cold_factor=rules.need("OverloadFactor"), fall_window=rules.time("Fall"),
        parent_cold_share=own.value.get("UpperColdFrom") or 0.0,
        parent_cold_time=own.optional_time("ParentWarmsIn"),
        parent_factor=own.value.get("ParentBreaksAt") or 0.0,
        origin_factor=own.value.get("OriginLimitFactor") or 0.0,
        purge_time=own.optional_time("ClearedWithin"), most_launches=int(limits.need("MaxAttempts")),
        longest_retry_after=limits.optional_time("MaxRetryAfter"),
        may_call_off=bool(limits.need("Cancel", (bool, int))),
        retry_after=bool(limits.value.get("RetryAfter")), direct=bool(own.value.get("Direct")),
        siblings=own.value.get("Sideways", "none") != "none", join=bool(own.value.get("CanJoin")),
        tells_hits=own.value.get("Tells", "none") != "none",
        own_width=own_width, must_ask=top.value.get("MembershipMode") == "ask",
        probing=bool(limits.value.get("Probing")) and reports.get("Via") == "probe"
        and "x1" in (reports.get("Names") or ()))
    return Surroundings(
        ground, dict(zip(names, profiles, strict=True)), int(own.value.get("ParentKind", -1)),
        int(own.need("StoreKind")), list(top.value.get("Skus") or ()), list(top.value.get("Dcs") or ()),
        limits.optional_time("ConnectTimeout"), limits.optional_time("IdleClose"),
        int(limits.value.get("StreamsPerConn") or 1), int(limits.value.get("MaxOpen") or 0),
        rules.optional_time("AnswerSlack"), bool(limits.value.get("PeerMessages")))
