"""Formats the status of a deployment as JSON or text for `marbleglade control status`."""

from __future__ import annotations

from collections.abc import Iterator

import orjson

from ..control.settings import ControlSettings
from ..control.status.merge import (
    ConfigurationRejection,
    DeploymentStatus,
    MissingFronts,
    NodeAnswer,
    PurgeSummary,
)
from ..runtime.units import MILLISECOND_NS

MAX_LISTED_PURGES = 20  # incomplete purges listed as text; JSON has all purges


def is_healthy(status: DeploymentStatus, settings: ControlSettings, now_ms: int) -> bool:
    """Return whether all nodes answered and the fronts have all purges and the configuration.

    A front may lack a purge or the configuration until its deadline. A rejected configuration is unhealthy.
    """
    return not (
        status.unreachable_nodes
        or _overdue_purges(status, settings, now_ms)
        or status.configuration.rejections
        or _is_configuration_overdue(status, settings, now_ms)
    )


def _overdue_purges(status: DeploymentStatus, settings: ControlSettings, now_ms: int) -> list[PurgeSummary]:
    deadline_ms = settings.purge_deadline_ns // MILLISECOND_NS
    return [
        purge
        for purge in status.purges
        if purge.missing_fronts.count and now_ms - purge.received_unix_ms > deadline_ms
    ]


def _is_configuration_overdue(status: DeploymentStatus, settings: ControlSettings, now_ms: int) -> bool:
    configuration = status.configuration
    deadline_ms = settings.configuration_deadline_ns // MILLISECOND_NS
    return bool(configuration.missing_fronts.count) and now_ms - configuration.received_unix_ms > deadline_ms


def as_json(status: DeploymentStatus) -> str:
    """Format the complete status as one JSON object."""
    configuration = status.configuration
    content = {
        "deployment": status.deployment,
        "nodes": [_node_as_json(answer) for answer in status.answers],
        "fronts": {
            "listed": status.listed_count,
            "connected": status.connected_count,
            "left": status.left_count,
            "absent": _fronts_as_json(status.absent_fronts),
        },
        "purges": [_purge_as_json(purge) for purge in status.purges],
        "purge_latency_ms": {
            "count": status.latency.total,
            "p50": _percentile_ms(status, 0.5),
            "p99": _percentile_ms(status, 0.99),
            "worst": _percentile_ms(status, 1.0),
        },
        "configuration": {
            "version": configuration.version,
            "received_ms": configuration.received_unix_ms,
            "done": bool(configuration.version) and not configuration.missing_fronts.count,
            "took_ms": configuration.duration_ms,
            "lacking": _fronts_as_json(configuration.missing_fronts),
            "refused": [_rejection_as_json(rejection) for rejection in configuration.rejections],
        },
    }
    text: str = orjson.dumps(content).decode()
    return text


def _node_as_json(answer: NodeAnswer) -> dict[str, object]:
    status = answer.status
    if status is None:
        return {"name": answer.name, "answered": False, "error": answer.error}
    return {
        "name": answer.name,
        "answered": True,
        "stream": status.stream,
        "started_ms": status.started_unix_ms,
        "last": status.last_index,
        "current": status.current,
        "discovery_age_ms": status.discovery_age_ms,
        "connected": sum(front.connected for front in status.fronts),
        "counters": status.counters,
    }


def _purge_as_json(purge: PurgeSummary) -> dict[str, object]:
    identity = purge.identity
    return {
        "object": f"{identity.object_id:016x}" if identity.object_id else None,
        "group": None if identity.object_id else identity.group,
        "unix_ms": identity.unix_ms,
        "received_ms": purge.received_unix_ms,
        "live": purge.live,
        "done": not purge.missing_fronts.count,
        "took_ms": purge.duration_ms,
        "lacking": _fronts_as_json(purge.missing_fronts),
    }


def _fronts_as_json(fronts: MissingFronts) -> dict[str, object]:
    return {"count": fronts.count, "first": fronts.first_names}


def _rejection_as_json(rejection: ConfigurationRejection) -> dict[str, object]:
    return {"front": rejection.front, "version": rejection.version, "reason": rejection.reason}


def _percentile_ms(status: DeploymentStatus, fraction: float) -> float | None:
    nanoseconds = status.latency.percentile(fraction)
    return None if nanoseconds is None else round(nanoseconds / MILLISECOND_NS, 1)


def as_text(status: DeploymentStatus) -> Iterator[str]:
    """Yield the lines of the status as text: nodes, fronts, purges, configuration."""
    yield f"deployment {status.deployment}"
    yield from map(_node_line, status.answers)
    yield (
        f"fronts: {status.listed_count} listed, {status.connected_count} connected, {status.left_count} left"
        + _format_fronts(", absent", status.absent_fronts)
    )
    yield from _purge_lines(status)
    yield _configuration_line(status)
    for rejection in status.configuration.rejections:
        yield f"  refused by {rejection.front}: {rejection.reason}"


def _node_line(answer: NodeAnswer) -> str:
    status = answer.status
    if status is None:
        return f"node {answer.name}: NO ANSWER, {answer.error}"
    connected = sum(front.connected for front in status.fronts)
    if status.current:
        discovery = "current"
    elif status.discovery_age_ms is None:
        discovery = "NOT CURRENT, its discovery service was never heard"
    else:
        discovery = (
            f"NOT CURRENT, its discovery service was last heard {status.discovery_age_ms / 1000:.1f} s ago"
        )
    position = f"event {status.last_index} of stream {status.stream}"
    return f"node {answer.name}: {discovery}, {connected} fronts, {position}"


def _format_fronts(label: str, fronts: MissingFronts) -> str:
    if not fronts.count:
        return ""
    more = ", ..." if fronts.count > len(fronts.first_names) else ""
    return f"{label} {fronts.count}: {', '.join(fronts.first_names)}{more}"


def _purge_lines(status: DeploymentStatus) -> Iterator[str]:
    incomplete = [purge for purge in status.purges if purge.missing_fronts.count]
    yield f"purges: the last {len(status.purges)}, {len(status.purges) - len(incomplete)} done everywhere"
    if status.latency.total:
        yield (
            f"  received to applied: half within {_percentile_ms(status, 0.5)} ms, "
            f"99% within {_percentile_ms(status, 0.99)} ms, all within {_percentile_ms(status, 1.0)} ms"
        )
    for purge in incomplete[-MAX_LISTED_PURGES:]:
        identity = purge.identity
        target = f"object {identity.object_id:016x}" if identity.object_id else f"group {identity.group}"
        yield f"  NOT DONE {target} of {identity.unix_ms}" + _format_fronts(", lacking", purge.missing_fronts)
    if len(incomplete) > MAX_LISTED_PURGES:
        yield f"  and {len(incomplete) - MAX_LISTED_PURGES} older ones"


def _configuration_line(status: DeploymentStatus) -> str:
    configuration = status.configuration
    if not configuration.version:
        return "configuration: none"
    prefix = f"configuration: version {configuration.version}"
    if not configuration.missing_fronts.count:
        return f"{prefix} in force everywhere after {configuration.duration_ms} ms"
    return f"{prefix} NOT IN FORCE" + _format_fronts(", lacking", configuration.missing_fronts)
