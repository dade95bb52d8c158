"""The faults that a scale run injects, chosen by its seed; no I/O. `fault_runner.py` injects them."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """A kind of fault. Names are for the command line; values describe the fault in the output."""

    KILL_NODE = "kill a control node"
    HANG_NODE = "hang a control node"
    RESTART_ALL_BUT_ONE = "restart all control nodes but one"
    CUT_ZONE = "cut off a zone of fronts"
    CUT_REGION = "cut off a region of fronts"
    RESTART_FRONTS = "restart seven in ten fronts at once"
    SLOW_READERS = "slow readers and partial lines at control nodes"
    HALF_LINE = "a partial line from a discovery service"
    DISCOVERY_ANEW = "a discovery service restarts its event numbers"
    REFUSED_CONFIGURATION = "a configuration that some fronts reject"


ALWAYS_IN_QUICK_RUN = (FaultKind.KILL_NODE, FaultKind.HANG_NODE)
QUICK_EXTRA = 2  # faults of a quick run in addition to `ALWAYS_IN_QUICK_RUN`
DURATION_S = {  # how long the fault itself lasts
    FaultKind.KILL_NODE: 3.0,
    FaultKind.HANG_NODE: 3.0,
    FaultKind.RESTART_ALL_BUT_ONE: 4.0,
    FaultKind.CUT_ZONE: 3.0,
    FaultKind.CUT_REGION: 6.0,
    FaultKind.RESTART_FRONTS: 2.0,
    FaultKind.SLOW_READERS: 3.0,
    FaultKind.HALF_LINE: 2.0,
    FaultKind.DISCOVERY_ANEW: 3.0,
    FaultKind.REFUSED_CONFIGURATION: 5.0,
}
# Seconds for starting and ending the fault on a busy machine, in addition to its duration.
OVERHEAD_S = dict.fromkeys(FaultKind, 1.5) | {FaultKind.RESTART_FRONTS: 6.0}
RESTARTED_SHARE = 0.7  # share of the lightweight fronts that are restarted at once
ZONE_SHARE = 1 / 11  # share of the lightweight fronts that are in one zone


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault to inject.

    Attributes:
        kind: The kind of fault.
        seconds: How long it lasts.
        random_fraction: A random number from 0 to 1 that selects the target.
    """

    kind: FaultKind
    seconds: float
    random_fraction: float

    @property
    def total_seconds(self) -> float:
        """Seconds that the fault takes with its overhead."""
        return self.seconds + OVERHEAD_S[self.kind]

    def choose(self, names: list[str]) -> str:
        """Select the target of the fault from these names."""
        return names[int(self.random_fraction * len(names))]


def plan_faults(seed: int, quick: bool, available: frozenset[FaultKind]) -> list[Fault]:
    """Return the available faults in a random order.

    A quick run has those of `ALWAYS_IN_QUICK_RUN` first and only `QUICK_EXTRA` others after them.
    """
    generator = random.Random(seed)
    always = [kind for kind in ALWAYS_IN_QUICK_RUN if kind in available]
    others = [kind for kind in FaultKind if kind in available and kind not in ALWAYS_IN_QUICK_RUN]
    generator.shuffle(always)
    generator.shuffle(others)
    kinds = always + (others[:QUICK_EXTRA] if quick else others)
    if not quick:
        generator.shuffle(kinds)
    return [Fault(kind, DURATION_S[kind], generator.random()) for kind in kinds]
