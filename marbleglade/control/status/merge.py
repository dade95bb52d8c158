"""Merges the statuses of several control nodes into the status of the deployment, without I/O.

A front has applied a purge if its current incarnation has acknowledged the purge to any node. The current
incarnation is the latest one that any node has recorded. A front counts as missing the purge if no node has
recorded the acknowledgement, or if the front is connected to no node, as it may have restarted since its last
acknowledgement. A front that shut down gracefully and is connected to no node is not counted.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..events.latency import LatencyHistogram
from ..settings import ControlSettings
from .node_status import FirstAcknowledgementsStatus, FrontStatus, NodeStatus, PurgeIdentity, PurgeStatus

MAX_NAMED_FRONTS = 10  # names listed for one set of missing fronts


@dataclass(frozen=True, slots=True)
class NodeAnswer:
    """The answer of one node: its status, or None and the reason in `error`."""

    name: str
    status: NodeStatus | None
    error: str = ""


@dataclass(frozen=True, slots=True)
class MissingFronts:
    """Fronts that miss an event or are absent: their number, and the first names in order of the settings."""

    count: int
    first_names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PurgeSummary:
    """The state of one purge in the deployment.

    Attributes:
        received_unix_ms: The time at which the first node received the purge.
        missing_fronts: The fronts that have not applied the purge, and all absent fronts.
        duration_ms: Upper bound of the time from the first node's receipt until every front had first
            acknowledged the purge; None if some front misses it. See `_duration_ms`.
        live: True if a node received the purge when it was issued. If all nodes received it in a replay by
            the discovery service, the times are not meaningful.
    """

    identity: PurgeIdentity
    received_unix_ms: int
    missing_fronts: MissingFronts
    duration_ms: int | None
    live: bool


@dataclass(frozen=True, slots=True)
class ConfigurationRejection:
    """The rejection of a configuration version by a front."""

    front: str
    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class ConfigurationSummary:
    """The newest configuration version, 0 if there is none; the other fields are as in `PurgeSummary`."""

    version: int
    received_unix_ms: int
    missing_fronts: MissingFronts
    duration_ms: int | None
    rejections: tuple[ConfigurationRejection, ...]


@dataclass(frozen=True, slots=True)
class DeploymentStatus:
    """The combined status of all control nodes.

    Attributes:
        answers: The answer of each listed node.
        listed_count: The number of fronts in the settings.
        connected_count: The number of these fronts that are connected to a node.
        left_count: The number of these fronts that shut down gracefully.
        absent_fronts: The fronts that are not connected and did not shut down gracefully.
        purges: The latest purges, oldest first.
        latency: Time from a node's receipt of a purge to its acknowledgement by a front, over all nodes.
    """

    deployment: str
    answers: tuple[NodeAnswer, ...]
    listed_count: int
    connected_count: int
    left_count: int
    absent_fronts: MissingFronts
    purges: tuple[PurgeSummary, ...]
    configuration: ConfigurationSummary
    latency: LatencyHistogram

    @property
    def unreachable_nodes(self) -> list[str]:
        """The names of the nodes that returned no usable status."""
        return [answer.name for answer in self.answers if answer.status is None]


@dataclass(frozen=True, slots=True)
class _NodeView:
    """One node's status with the data to translate its front numbers into positions in the settings.

    Attributes:
        bit_positions: The position in the settings for each bit position at the node; None: not listed.
        current_fronts: The set of fronts whose latest incarnation is the one in this node's status.
        front_statuses: The status of each of these fronts, by position in the settings.
    """

    status: NodeStatus
    bit_positions: Sequence[int | None]
    current_fronts: int
    front_statuses: dict[int, FrontStatus]

    def to_deployment_set(self, fronts: int) -> int:
        """Translate a set of fronts from the node's bit positions to positions in the settings."""
        if all(number == position for position, number in enumerate(self.bit_positions)):
            return fronts
        return sum(
            1 << number
            for position, number in enumerate(self.bit_positions)
            if number is not None and fronts >> position & 1
        )


@dataclass(frozen=True, slots=True)
class _Receipt:
    """One event at one node: times of its receipt and of the last front's first acknowledgement."""

    received_unix_ms: int
    connected_fronts: int  # the set of fronts that acknowledged and were connected since the receipt
    last_connected_unix_ms: int  # the last first acknowledgement of these fronts
    last_unix_ms: int  # the last first acknowledgement of all fronts


def merge(settings: ControlSettings, answers: Iterable[NodeAnswer]) -> DeploymentStatus:
    """Merge the answers of the nodes; a status of another deployment or another node counts as an error."""
    checked = tuple(_validate_answer(settings, answer) for answer in answers)
    names = [front for region in settings.regions for front in region.fronts]
    views = _node_views(names, [answer.status for answer in checked if answer.status])
    connected, left = _connected_and_left(views)
    expected = (1 << len(names)) - 1 & ~left
    absent = expected & ~connected
    latency = LatencyHistogram()
    for view in views:
        latency.merge(view.status.latency)
    return DeploymentStatus(
        deployment=settings.deployment,
        answers=checked,
        listed_count=len(names),
        connected_count=connected.bit_count(),
        left_count=left.bit_count(),
        absent_fronts=_missing_fronts(names, absent),
        purges=tuple(_merge_purges(names, views, expected, absent)),
        configuration=_merge_configuration(names, views, expected, absent),
        latency=latency,
    )


def _validate_answer(settings: ControlSettings, answer: NodeAnswer) -> NodeAnswer:
    status = answer.status
    if status and status.deployment != settings.deployment:
        return NodeAnswer(answer.name, None, f"the status is of another deployment, {status.deployment!r}")
    if status and status.node != answer.name:
        return NodeAnswer(answer.name, None, f"the status is of another node, {status.node!r}")
    return answer


def _node_views(names: Sequence[str], statuses: Sequence[NodeStatus]) -> list[_NodeView]:
    numbers = {name: number for number, name in enumerate(names)}
    latest_start_ms: dict[str, int] = {}
    for status in statuses:
        for front in status.fronts:
            latest_start_ms[front.name] = max(front.start_ms, latest_start_ms.get(front.name, 0))
    views = []
    for status in statuses:
        front_statuses = {
            numbers[front.name]: front
            for front in status.fronts
            if front.name in numbers and front.start_ms and front.start_ms == latest_start_ms[front.name]
        }
        current_fronts = sum(1 << number for number in front_statuses)
        bit_positions = [numbers.get(front.name) for front in status.fronts]
        views.append(_NodeView(status, bit_positions, current_fronts, front_statuses))
    return views


def _connected_and_left(views: Iterable[_NodeView]) -> tuple[int, int]:
    """Return the set of fronts connected to any node, and of those that shut down and are not connected."""
    connected = left = 0
    for view in views:
        for number, front in view.front_statuses.items():
            if front.has_left:
                left |= 1 << number
            elif front.connected:
                connected |= 1 << number
    return connected, left & ~connected


def _missing_fronts(names: Sequence[str], fronts: int) -> MissingFronts:
    first_names: list[str] = []
    remaining = fronts
    while remaining and len(first_names) < MAX_NAMED_FRONTS:
        lowest = remaining & -remaining
        first_names.append(names[lowest.bit_length() - 1])
        remaining ^= lowest
    return MissingFronts(fronts.bit_count(), tuple(first_names))


def _merge_purges(
    names: Sequence[str], views: Sequence[_NodeView], expected: int, absent: int
) -> list[PurgeSummary]:
    rows_by_identity: dict[PurgeIdentity, list[tuple[_NodeView, PurgeStatus]]] = {}
    for view in views:
        for purge in view.status.purges:
            rows_by_identity.setdefault(purge.identity(view.status.node), []).append((view, purge))
    summaries = []
    for identity, rows in rows_by_identity.items():
        # An acknowledgement counts only at a node that has recorded the front's latest incarnation.
        missing = expected
        for view, purge in rows:
            missing &= view.to_deployment_set(purge.missing_fronts) | ~view.current_fronts
        missing |= absent
        timed = [row for row in rows if row[1].live] or rows
        receipts = [_receipt(view, purge.received_unix_ms, purge.acknowledgements) for view, purge in timed]
        summaries.append(
            PurgeSummary(
                identity,
                min(receipt.received_unix_ms for receipt in receipts),
                _missing_fronts(names, missing),
                None if missing else _duration_ms(receipts, expected),
                any(purge.live for _, purge in timed),
            )
        )
    return sorted(summaries, key=lambda summary: summary.received_unix_ms)


def _receipt(
    view: _NodeView, received_unix_ms: int, acknowledgements: FirstAcknowledgementsStatus
) -> _Receipt:
    return _Receipt(
        received_unix_ms,
        view.to_deployment_set(acknowledgements.connected_fronts),
        received_unix_ms + acknowledgements.connected_latency_ms,
        received_unix_ms + acknowledgements.all_latency_ms,
    )


def _duration_ms(receipts: Sequence[_Receipt], expected: int) -> int:
    """Return an upper bound of the time from the first receipt until every front had first acknowledged.

    A front that reconnects to another node acknowledges earlier events there again. Only acknowledgements by
    fronts connected since the receipt are used if these cover all expected fronts, else all of them.
    """
    connected_fronts = 0
    for receipt in receipts:
        connected_fronts |= receipt.connected_fronts
    if expected & ~connected_fronts:
        last_ms = max(receipt.last_unix_ms for receipt in receipts)
    else:
        last_ms = max(receipt.last_connected_unix_ms for receipt in receipts)
    return last_ms - min(receipt.received_unix_ms for receipt in receipts)


def _merge_configuration(
    names: Sequence[str], views: Sequence[_NodeView], expected: int, absent: int
) -> ConfigurationSummary:
    version = max((view.status.configuration.version for view in views), default=0)
    if not version:
        return ConfigurationSummary(0, 0, MissingFronts(0, ()), None, ())
    missing = expected
    rejections: dict[str, ConfigurationRejection] = {}
    receipts: list[_Receipt] = []
    for view in views:
        newest = view.status.configuration
        if newest.version == version:
            receipts.append(_receipt(view, newest.received_unix_ms, newest.acknowledgements))
        for number, front in view.front_statuses.items():
            if front.configuration_version == version:
                missing &= ~(1 << number)
            if front.rejected_version == version:
                rejections[front.name] = ConfigurationRejection(front.name, version, front.rejection_reason)
    missing |= absent
    return ConfigurationSummary(
        version,
        min(receipt.received_unix_ms for receipt in receipts),
        _missing_fronts(names, missing),
        None if missing else _duration_ms(receipts, expected),
        tuple(rejections[name] for name in names if name in rejections),
    )
