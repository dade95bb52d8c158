"""Maps the values of enumerations in settings and discovery events to their Python types."""

from __future__ import annotations

from ..model.request import DeduplicationScope, Idempotency
from ..model.upstream import UpstreamState

IDEMPOTENCY_BY_SETTING = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.IDEMPOTENT_BY_KEY,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
STATE_BY_SETTING = {
    "active": UpstreamState.ACTIVE,
    "leaving": UpstreamState.DRAINING,
    "left": UpstreamState.REMOVED,
}
SETTING_BY_STATE = {state: setting for setting, state in STATE_BY_SETTING.items()}
SCOPE_BY_SETTING = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
