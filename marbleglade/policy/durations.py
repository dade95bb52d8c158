"""Durations that the policy modules share, derived from the parameters."""

from __future__ import annotations

from typing import NamedTuple

from ..model.parameters import Parameters

# How long an observation is valid, in percent of the longest client timeout. It expires before a client with
# that timeout stops waiting.
OBSERVATION_LIFETIME_PERCENT = 80
# Timer runs within the shortest latency objective. A deadline is therefore handled at most a sixteenth of the
# objective late.
TIMER_RUNS_PER_OBJECTIVE = 16


class Durations(NamedTuple):
    """Durations in nanoseconds.

    Attributes:
        shortest_objective: The shortest latency objective of all request classes.
        observation_lifetime: How long an observation is valid, for example that a cache holds an object.
        timer_interval: The interval between two runs of the policy's timer.
    """

    shortest_objective: int
    observation_lifetime: int
    timer_interval: int

    @classmethod
    def derive(cls, parameters: Parameters) -> Durations:
        """Derive the durations from the request classes and the resolution of the clock."""
        classes = parameters.request_classes
        shortest_objective = min(each.latency_objective for each in classes)
        longest_timeout = max(each.client_timeout for each in classes)
        return cls(
            shortest_objective,
            observation_lifetime=longest_timeout * OBSERVATION_LIFETIME_PERCENT // 100,
            timer_interval=max(shortest_objective // TIMER_RUNS_PER_OBJECTIVE, parameters.clock_resolution),
        )
