"""Injects the faults of a scale run."""

from __future__ import annotations

import gevent

from .configuring import ConfigurationProposer
from .control_plane import ControlPlane, SlowReaders
from .faults import RESTARTED_SHARE, ZONE_SHARE, Fault, FaultKind
from .messages.discovery import RestartNumbering, SendPartialLine
from .population import Population
from .purging import PurgeIssuer
from .topology import REAL_REGION, REGIONS
from .worker import Worker

PURGE_PAUSE_S = 0.5  # without purges before and after a discovery service restarts its numbers
EMPTY_DIRECTORY = 0  # directory entries of a restarted front
RESTART_DELAY_S = 1.0  # between the end of a front and its next start
SLOW_READERS_PER_NODE = 6  # connections to each control node


class FaultRunner:
    """Injects faults one at a time; a fault has ended when `inject` returns."""

    def __init__(
        self,
        plane: ControlPlane,
        population: Population,
        discovery: Worker,
        issuer: PurgeIssuer,
        proposer: ConfigurationProposer,
        listed_caches: int,
    ) -> None:
        self.plane, self.population, self.discovery = plane, population, discovery
        self.issuer, self.proposer, self.listed_caches = issuer, proposer, listed_caches
        self.actions = {
            FaultKind.KILL_NODE: self.kill_node,
            FaultKind.HANG_NODE: self.hang_node,
            FaultKind.RESTART_ALL_BUT_ONE: self.restart_all_but_one,
            FaultKind.CUT_ZONE: self.cut_zone,
            FaultKind.CUT_REGION: self.cut_region,
            FaultKind.RESTART_FRONTS: self.restart_fronts,
            FaultKind.SLOW_READERS: self.slow_readers,
            FaultKind.HALF_LINE: self.send_partial_line,
            FaultKind.DISCOVERY_ANEW: self.restart_numbering,
            FaultKind.REFUSED_CONFIGURATION: self.reject_configuration,
        }

    @property
    def available(self) -> frozenset[FaultKind]:
        """The kinds of faults that can be injected."""
        return frozenset(self.actions)

    def inject(self, fault: Fault) -> str:
        """Inject a fault, wait for its end, and return a description of its target."""
        return self.actions[fault.kind](fault)

    def kill_node(self, fault: Fault) -> str:
        """Kill a control node and start it again after the fault's duration."""
        name = fault.choose(sorted(self.plane.nodes))
        self.plane.kill(name)
        gevent.sleep(fault.seconds)
        self.plane.start(name)
        return name

    def hang_node(self, fault: Fault) -> str:
        """Stop a control node with SIGSTOP and resume it after the fault's duration."""
        name = fault.choose(sorted(self.plane.nodes))
        self.plane.hang(name)
        gevent.sleep(fault.seconds)
        self.plane.resume(name)
        return name

    def restart_all_but_one(self, fault: Fault) -> str:
        """Kill all control nodes but one and start them again at once."""
        survivor = fault.choose(sorted(self.plane.nodes))
        others = [name for name in self.plane.nodes if name != survivor]
        for name in others:
            self.plane.kill(name)
        for name in others:
            self.plane.start(name)
        gevent.sleep(fault.seconds)
        return f"all but {survivor}"

    def cut_zone(self, fault: Fault) -> str:
        """Cut off one front in eleven, which is the share of one zone."""
        names = sorted(self.population.current)
        count = max(1, round(len(names) * ZONE_SHARE))
        first = int(fault.random_fraction * (len(names) - count))
        return self._cut(names[first : first + count], fault.seconds)

    def cut_region(self, fault: Fault) -> str:
        """Cut off all lightweight fronts of a region."""
        region = fault.choose(list(REGIONS))
        names = [name for name in self.population.current if self.population.region_of[name] == region]
        return f"{region}: {self._cut(names, fault.seconds)}"

    def _cut(self, names: list[str], seconds: float) -> str:
        self.population.cut(names)
        gevent.sleep(seconds)
        self.population.heal(names)
        return f"{len(names)} fronts"

    def restart_fronts(self, fault: Fault) -> str:
        """Restart seven in ten lightweight fronts at once; the random fraction decides whether gracefully."""
        names = sorted(self.population.current)
        names = names[: round(len(names) * RESTARTED_SHARE)]
        graceful = fault.random_fraction < 0.5
        self.population.stop(names, graceful)
        gevent.sleep(RESTART_DELAY_S)
        by_region: dict[str, list[str]] = {}
        for name in names:
            by_region.setdefault(self.population.region_of[name], []).append(name)
        self.population.start(by_region, EMPTY_DIRECTORY, self.listed_caches)
        return f"{len(names)} fronts{', gracefully' if graceful else ''}"

    def slow_readers(self, fault: Fault) -> str:
        """Open connections to every running node that never read, half of them with an incomplete line."""
        nodes = [node for name, node in self.plane.nodes.items() if name not in self.plane.down]
        readers = SlowReaders(nodes, SLOW_READERS_PER_NODE)
        gevent.sleep(fault.seconds)
        readers.close()
        return f"{len(readers.sockets)} connections"

    def send_partial_line(self, fault: Fault) -> str:
        """Have a discovery service send a partial line and close all connections."""
        region = fault.choose(list(REGIONS))
        self.discovery.execute(SendPartialLine(region))
        gevent.sleep(fault.seconds)
        return region

    def restart_numbering(self, fault: Fault) -> str:
        """Restart the numbering of a discovery service.

        No purge is issued meanwhile, as the stand-in drops its events and would lose the purge.
        """
        region, rate = fault.choose(list(REGIONS)), self.issuer.rate
        self.issuer.rate = 0
        gevent.sleep(PURGE_PAUSE_S)
        self.discovery.execute(RestartNumbering(region))
        gevent.sleep(PURGE_PAUSE_S)
        self.issuer.rate = rate
        gevent.sleep(fault.seconds)
        return region

    def reject_configuration(self, fault: Fault) -> str:
        """Propose configuration versions, one of which some fronts reject.

        The region of the real fronts is excluded, as its fronts have other peers.
        """
        return self.proposer.propose_versions(fault.choose([one for one in REGIONS if one != REAL_REGION]))
