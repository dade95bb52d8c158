"""Builds the status of a node from its event log, acknowledgements and counters, without I/O."""

from __future__ import annotations

from ...runtime.counters import Counters
from ...runtime.units import MILLISECOND_NS
from ..events.confirmation import ConfirmationTracker, FirstAcknowledgements, FrontRecord, TrackedPurge
from ..events.event_log import EventLog
from .node_status import (
    ConfigurationStatus,
    FirstAcknowledgementsStatus,
    FrontStatus,
    NodeStatus,
    PurgeStatus,
)


class StatusReporter:
    """Builds the status of one node.

    Args:
        deployment: Name of the deployment.
        node: Name of the node.
        started_ms: Start time of the node, in Unix milliseconds.
        log: The event log of the node.
        confirmation: The state and acknowledgements of fronts.
        counters: The counters of the node.
    """

    def __init__(
        self,
        deployment: str,
        node: str,
        started_ms: int,
        log: EventLog,
        confirmation: ConfirmationTracker,
        counters: Counters,
    ) -> None:
        self.deployment = deployment
        self.node = node
        self.started_ms = started_ms
        self.log = log
        self.confirmation = confirmation
        self.counters = counters

    def build(self, discovery_age_ns: int | None, current: bool) -> NodeStatus:
        """Build the status from the age of the last discovery heartbeat and whether it is recent enough."""
        newest = self.confirmation.configuration
        return NodeStatus(
            deployment=self.deployment,
            node=self.node,
            stream=self.log.stream,
            started_unix_ms=self.started_ms,
            last_index=self.log.last_index,
            current=current,
            discovery_age_ms=None if discovery_age_ns is None else discovery_age_ns // MILLISECOND_NS,
            fronts=tuple(map(_front, self.confirmation.fronts.values())),
            purges=tuple(map(_purge, self.confirmation.purges, self.confirmation.missing_fronts())),
            configuration=ConfigurationStatus(
                newest.version, newest.received_unix_ms, _acknowledgements(newest.acknowledgements)
            ),
            latency=tuple(self.confirmation.latency.counts),
            counters=self.counters.table(),
        )


def _front(record: FrontRecord) -> FrontStatus:
    return FrontStatus(
        name=record.name,
        start_ms=record.start_ms,
        connected=bool(record.connection),
        has_left=record.has_left,
        applied_index=record.applied_index,
        configuration_version=record.configuration_version,
        rejected_version=record.rejected_version,
        rejection_reason=record.rejection_reason,
    )


def _purge(record: TrackedPurge, missing_fronts: int) -> PurgeStatus:
    purge = record.purge
    return PurgeStatus(
        index=record.index,
        object_id=purge.object_id,
        group=purge.group,
        unix_ms=purge.unix_ms,
        received_unix_ms=record.received_unix_ms,
        live=record.live,
        missing_fronts=missing_fronts,
        acknowledgements=_acknowledgements(record.acknowledgements),
    )


def _acknowledgements(acknowledgements: FirstAcknowledgements) -> FirstAcknowledgementsStatus:
    return FirstAcknowledgementsStatus(
        acknowledgements.connected_fronts,
        acknowledgements.connected_latency_ns // MILLISECOND_NS,
        acknowledgements.all_latency_ns // MILLISECOND_NS,
    )
