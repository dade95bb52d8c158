"""Simulates fleets by size, prints a table of them and returns the figures for the overload benchmark."""

from __future__ import annotations

from .simulation import FAULT_BEGIN, FAULT_END, FLOOD_BEGIN, FLOOD_END, FleetSimulation
from .upstreams import Fault

MAX_FRONTS_ALONE = 200  # most fronts for which a fleet without cooperation is simulated
MAX_FRONTS_WITH_ALL_FAULTS = 50
DURATION_S, LARGE_FLEET_DURATION_S = 15, 6
GROWTH_BASE_FRONTS = 50  # number of fronts that the growth of datagram bytes is relative to
HEADER = (
    f"{'fronts':>6} {'way':<9} {'fault':<7} served amid  flood  attempts/first  probes/cache/s  "
    f"at bad  shed wrong  B/front/s  back s"
)


def simulate_sizes(seed: int, sizes: tuple[int, ...]) -> dict[str, float]:
    """Simulate fleets of all sizes and print a row for each simulation.

    Args:
        seed: Seed of all simulations.
        sizes: Numbers of fronts.

    Returns:
        Figures by name, for the largest size of at most 200 fronts. Lost and doubled answers are summed over
        all sizes; the growth of datagram bytes is that from 50 fronts to the largest size.
    """
    figures: dict[str, float] = {"lost": 0, "doubled": 0}
    bytes_per_front: dict[int, float] = {}
    print(HEADER)
    for count in sizes:
        for cooperating in (False, True):
            if count > MAX_FRONTS_ALONE and not cooperating:
                continue
            simulations = _simulate_faults(seed, count, cooperating)
            figures["lost"] += sum(one.measurements.lost_requests for one in simulations)
            figures["doubled"] += sum(one.measurements.duplicate_answers for one in simulations)
            if cooperating:
                bytes_per_front[count] = simulations[0].bytes_per_front()
            if count <= MAX_FRONTS_ALONE:
                figures |= _figures(simulations, cooperating)
    figures["growth_bytes"] = bytes_per_front[max(sizes)] / bytes_per_front[GROWTH_BASE_FRONTS]
    return figures


def _simulate_faults(seed: int, count: int, cooperating: bool) -> list[FleetSimulation]:
    faults = Fault if count <= MAX_FRONTS_WITH_ALL_FAULTS else (Fault.HUNG,)
    seconds = DURATION_S if count <= MAX_FRONTS_ALONE else LARGE_FLEET_DURATION_S
    simulations = []
    for fault in faults:
        simulation = FleetSimulation(count, seed, cooperating, fault, seconds).run()
        _print_row(simulation)
        simulations.append(simulation)
    return simulations


def _print_row(simulation: FleetSimulation) -> None:
    measured = simulation.measurements
    way = "together" if simulation.cooperating else "alone"
    print(
        f"{simulation.count:>6} {way:<9} {simulation.fault.value:<7} {measured.served_share():.3f} "
        f"{measured.served_share(FAULT_BEGIN, FAULT_END):.3f} "
        f"{measured.served_share(FLOOD_BEGIN, FLOOD_END):.3f} {measured.amplification():>15.2f} "
        f"{simulation.probes_per_cache():>15.2f} {simulation.worst_in_flight_at_fault:>7} "
        f"{measured.wrongly_rejected_share():>10.3f} {simulation.bytes_per_front():>10.0f} "
        f"{measured.recovery_seconds(FLOOD_END):>7.1f}"
    )


def _figures(simulations: list[FleetSimulation], cooperating: bool) -> dict[str, float]:
    measurements = [one.measurements for one in simulations]
    suffix = "" if cooperating else "_alone"
    figures = {
        "amplification_worst" + suffix: max(one.amplification() for one in measurements),
        "probes_per_place_s" + suffix: simulations[0].probes_per_cache(),
    }
    if cooperating:
        figures["trials_at_once_worst"] = max(one.worst_in_flight_at_fault for one in simulations)
        figures["worth_inverted_share"] = max(one.wrongly_rejected_share() for one in measurements)
        figures["peer_bytes_per_front_s"] = simulations[0].bytes_per_front()
    return figures
