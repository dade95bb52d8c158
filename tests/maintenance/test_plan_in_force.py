"""A grant takes effect at all fronts in time, although many datagrams are lost.

Guards against a front that is alone in a later term. A front without contact to a leader for a third of a
lease may start an election whose requests are all lost. From then on it ignores the leader's table without
replying, so the leader, which has a majority, never receives the later term. That front then uses a machine
that is out of service at the others.

The fault is not fixed: the test fails at present, and KNOWN-RED.txt lists it. On simulated time, with 30 in
100 datagrams lost, 2 of 1,500 seeds take longer than 75 heartbeats, and the test runs these two. Seed 594:
from heartbeat 6.5 to 78 front 1 is in term 3, the others are in term 2 of leader 4. Seed 1063: front 0 is in
term 6, the others are in term 5.
"""

import pytest

from benchmarks.maintenance.simulation import NS_PER_MS, MaintenanceSimulation
from marbleglade.maintenance.coordinator import machine_key
from marbleglade.maintenance.plan import ConcurrencyLimit, Kind

SETTLE_SECONDS = 15
IN_FORCE_SECONDS = 75  # 75 heartbeats: 1 s each in the simulation; at 200 ms each they take 15 s
LIMITS = ConcurrencyLimit(1, Kind.FRONT), ConcurrencyLimit(1, Kind.CACHE)


@pytest.mark.parametrize("seed", [594, 1063])
def test_a_cache_is_taken_out_at_all_fronts_in_time_at_30_in_100_datagrams_lost(seed):
    simulation = MaintenanceSimulation(5, 4, seed)
    simulation.network.set_faults(loss_rate=0.3, duplication_rate=0.0, delay_ns=(0, 25 * NS_PER_MS))
    simulation.run(SETTLE_SECONDS)
    simulation.never_restarts |= set(simulation.caches)
    simulation.submit_plan(["box0"], LIMITS, front=2, floor=0.3, takes_ms=150_000)
    simulation.run(IN_FORCE_SECONDS)
    key = machine_key("box0")
    informed = [
        number for number, front in simulation.fronts.items() if key in front.coordinator.granted_starts_ms
    ]
    assert informed == list(simulation.fronts)
