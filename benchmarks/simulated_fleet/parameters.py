"""Parameters of the simulated fronts."""

from __future__ import annotations

from marbleglade.model.parameters import Parameters
from marbleglade.model.request import RequestClass
from marbleglade.testing.policy_stub import NS_PER_MS, NS_PER_S, policy_parameters

LATENCY_OBJECTIVE = 300 * NS_PER_MS
OBJECTIVE_STRETCH = 2.0
CLIENT_TIMEOUT = 2500 * NS_PER_MS
FLOW_KB_PER_S = 2000.0  # of one transfer at full speed


def fleet_parameters(seed: int, fleet_size: int) -> Parameters:
    """Return the parameters of one front of a fleet."""
    request_class = RequestClass(
        latency_objective=LATENCY_OBJECTIVE,
        objective_stretch=OBJECTIVE_STRETCH,
        client_timeout=CLIENT_TIMEOUT,
    )
    return policy_parameters(
        [request_class],
        seed=seed,
        fleet_size=fleet_size,
        flow_kb_per_s=FLOW_KB_PER_S,
        slow_start_time=4 * NS_PER_S,
        overload_window=NS_PER_S // 2,
        parent_slow_start_share=0.2,
        parent_slow_start_time=4 * NS_PER_S,
        parent_overload_factor=3.0,
        origin_overload_factor=2.5,
        can_join_fills=True,
        load_probes_allowed=True,
    )
