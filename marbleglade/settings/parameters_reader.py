"""Reads the parameters of the policy from the settings."""

from __future__ import annotations

from typing import NamedTuple

from ..model.parameters import Parameters
from ..model.request import RequestClass
from .load_reports import CONGESTION_FIELD
from .reader import InvalidSettingError, JsonObject, SettingsReader, item_or

MIN_CLOCK_RESOLUTION_MS = 1e-3  # with 0 the main loop of a front would never sleep


class SettingsSections(NamedTuple):
    """The sections of the settings.

    Attributes:
        top: The top level.
        limits: Section `Limits`: abilities and limits of clients and caches.
        rules: Section `Rules`: behaviour of caches after a start and under load.
        deployment: Section `Specifics`: settings particular to caches of large objects.
        load_reports: Section `Report`: how load is reported; empty if it is not reported.
    """

    top: SettingsReader
    limits: SettingsReader
    rules: SettingsReader
    deployment: SettingsReader
    load_reports: JsonObject


def read_sections(settings: object) -> SettingsSections:
    """Return the sections; raise `InvalidSettingError` if one is missing or not an object."""
    top = SettingsReader(settings, "")
    limits = top.section("Limits")
    rules = top.section("Rules")
    deployment = top.section("Specifics")
    load_reports = top.value.get("Report") or {}
    if not isinstance(load_reports, dict):
        raise InvalidSettingError("setting Report must be an object, or null for no load reports")
    return SettingsSections(top, limits, rules, deployment, load_reports)


def read_parameters(
    sections: SettingsSections, request_classes: list[RequestClass], seed: int, local_link_capacity: float
) -> Parameters:
    """Return the parameters of the policy; raise `InvalidSettingError` if a setting is missing or invalid.

    `seed` and `local_link_capacity` are described at `environment.read_environment`.
    """
    top, limits = sections.top, sections.limits
    rules, deployment = sections.rules, sections.deployment
    zone = top.integer("Zone")
    return Parameters(
        request_classes=request_classes,
        seed=seed,
        zone=zone,
        fleet_size=max(1, int(item_or(deployment.numbers("CrewByZone", required=False), zone, 1))),
        flow_kb_per_s=deployment.optional_number("OneFlowKbPerS"),
        clock_resolution=top.time("Resolution", MIN_CLOCK_RESOLUTION_MS),
        slow_start_share=rules.number("ColdFrom"),
        slow_start_time=rules.time("Cold"),
        overload_factor=rules.number("OverloadFactor"),
        overload_window=rules.time("Fall"),
        parent_slow_start_share=deployment.optional_number("UpperColdFrom"),
        parent_slow_start_time=deployment.optional_time("ParentWarmsIn"),
        parent_overload_factor=deployment.optional_number("ParentBreaksAt"),
        origin_overload_factor=deployment.optional_number("OriginLimitFactor"),
        purge_deadline=deployment.optional_time("ClearedWithin"),
        max_attempts=limits.integer("MaxAttempts", minimum=1),
        max_retry_after=limits.optional_time("MaxRetryAfter"),
        can_cancel=bool(limits.require("Cancel", (bool, int))),
        sends_retry_after=bool(limits.value.get("RetryAfter")),
        parents_serve_directly=bool(deployment.value.get("Direct")),
        siblings_fill=deployment.value.get("Sideways", "none") != "none",
        can_join_fills=bool(deployment.value.get("CanJoin")),
        reports_cache_status=deployment.value.get("Tells", "none") != "none",
        local_link_capacity=local_link_capacity,
        must_poll_endpoints=top.value.get("MembershipMode") == "ask",
        load_probes_allowed=_load_probes_allowed(sections),
    )


def _load_probes_allowed(sections: SettingsSections) -> bool:
    if not sections.limits.value.get("Probing") or sections.load_reports.get("Via") != "probe":
        return False
    return CONGESTION_FIELD in (sections.load_reports.get("Names") or ())
