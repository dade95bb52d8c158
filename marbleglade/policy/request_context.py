"""The state that the policy keeps for each open request."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..model.attempt import Attempt
from ..model.upstream import Upstream
from .object_history import ObjectHistory


@dataclass(slots=True, eq=False)
class RequestContext:
    """The state of one request that the stages share."""

    history: ObjectHistory
    transfer_time: int  # ns at full throughput; an estimate unless `size_known` is True
    size_known: bool
    is_new_object: bool  # whether this front has no earlier request for this part on record
    objective_at: int = 0  # time at which the latency objective ends, ns
    cache_priority: int = 1
    response_started: bool = False
    is_fill_probe: bool = False  # whether an attempt was sent to probe the fill links
    avoided: list[Upstream] = field(default_factory=list)  # by retries: suspected, or without the object
    unexplained_errors: list[Attempt] = field(default_factory=list)  # errors of an object that may not exist
