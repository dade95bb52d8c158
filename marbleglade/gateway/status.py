"""Builds the status report of a gateway, which is written to its log."""

from __future__ import annotations

from .wiring import GatewayComponents


def gateway_status(components: GatewayComponents) -> dict[str, object]:
    """Return the counters and the state of a gateway's components as the fields of a log event."""
    router = components.router
    return {
        "counts": components.counters.table(),
        "open_requests": len(router),
        "links": [row for requester in components.requesters for row in requester.link_status()],
        "sessions": components.responder.session_status(),
        "journal_bytes": components.journal.stored_bytes,
        "body_budget": components.body_budget.snapshot(),
        "loop": components.loop_monitor.snapshot(),
        "located_objects": len(router.routes.locations),
        "upstreams": [
            row | {"region": region}
            for region, handler in router.handlers.items()
            for row in handler.monitor.status()
        ],
    }
