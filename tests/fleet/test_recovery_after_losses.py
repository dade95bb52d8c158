"""Time until all members are alive at all fronts again after heavy datagram loss, on simulated time."""

from statistics import median

from marbleglade.fleet import membership
from tests.fleet.simulated_fleet import SimulatedFleet
from tests.harness.units import NS_PER_MS

FRONTS = 6
PROBE_INTERVAL_NS = 300 * NS_PER_MS
STEP_NS = 25 * NS_PER_MS
SEEDS = range(150)
UNDISTURBED_DELAY_NS = (0, 5 * NS_PER_MS)
OBSERVED_SECONDS = 9

# Bounds of the recovery time after the losses end, in probe intervals. A member that was suspected during the
# losses can still be declared dead afterwards: a front whose probes failed waits up to five intervals between
# two probes, so the suspected member may receive the suspicion too late to refute it. A member that was
# declared dead refutes this once another member sends it that update.
MAX_RECOVERY_INTERVALS = 20
MEDIAN_RECOVERY_INTERVALS = 10


def recovery_intervals(seed: int) -> float:
    """Return the last time a member was not alive at a front, in probe intervals after the losses end."""
    fleet = SimulatedFleet(FRONTS, seed, PROBE_INTERVAL_NS, STEP_NS)
    fleet.network.delay_ns = UNDISTURBED_DELAY_NS
    fleet.run(2)
    assert fleet.all_members_alive()
    fleet.network.loss_rate, fleet.network.duplication_rate = 0.6, 0.1
    fleet.network.delay_ns = 0, 600 * NS_PER_MS
    fleet.run(4)
    fleet.network.loss_rate, fleet.network.duplication_rate = 0.0, 0.0
    fleet.network.delay_ns = UNDISTURBED_DELAY_NS
    losses_end = last_not_all_alive = fleet.now

    def record_member_not_alive() -> None:
        nonlocal last_not_all_alive
        if not fleet.all_members_alive():
            last_not_all_alive = fleet.now

    fleet.run(OBSERVED_SECONDS, record_member_not_alive)
    return (last_not_all_alive - losses_end) / PROBE_INTERVAL_NS


def test_all_members_are_alive_at_all_fronts_again_within_a_bounded_number_of_probe_intervals():
    durations = [recovery_intervals(seed) for seed in SEEDS]
    assert max(durations) <= MAX_RECOVERY_INTERVALS
    assert median(durations) <= MEDIAN_RECOVERY_INTERVALS


def test_without_refutation_members_stay_declared_dead(monkeypatch):
    monkeypatch.setattr(membership.Membership, "refute", lambda _self, _update: None)
    last_observed = OBSERVED_SECONDS * 1000 * NS_PER_MS / PROBE_INTERVAL_NS
    assert recovery_intervals(SEEDS[0]) == last_observed > MAX_RECOVERY_INTERVALS
