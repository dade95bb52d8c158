"""Proposes configuration versions by command and measures when lightweight fronts have them in force."""

from __future__ import annotations

import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import gevent

from .messages.common import Collect
from .messages.status import StatusReport
from .population import Population
from .topology import document_text
from .worker import Worker

PROPOSE_TIMEOUT_S = 20.0  # until the command ends
IN_FORCE_TIMEOUT_S = 15.0  # until a version is in force at every front that accepts it
STATUS_TIMEOUT_S = 5.0  # until the status lists the fronts that reject a version
POLL_INTERVAL_S = 0.25  # a measured time may be too long by as much
REJECTING_SHARE = 0.1  # share of a region's fronts that a document does not list


class ProposalError(Exception):
    """The command to propose a configuration version failed."""


@dataclass(slots=True)
class ConfigurationOutcome:
    """Results of all proposed versions.

    Attributes:
        in_force_seconds: For each version, from the start of the command until every front that accepts the
            version has it in force.
        command_seconds: For each version, how long the command ran.
        rejecting: Fronts that must reject a version because it does not list them.
        reported_rejecting: Those of `rejecting` that the control plane's status listed as well.
        failures: Descriptions of what went wrong.
    """

    in_force_seconds: list[float] = field(default_factory=list)
    command_seconds: list[float] = field(default_factory=list)
    rejecting: list[str] = field(default_factory=list)
    reported_rejecting: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)


class ConfigurationProposer:
    """Proposes configuration versions and waits until they are in force."""

    def __init__(self, settings_path: Path, population: Population, watch: Worker) -> None:
        self.settings_path, self.population, self.watch = settings_path, population, watch
        self.version = 0
        self.outcome = ConfigurationOutcome()
        self.reports: list[StatusReport] = []  # status reports read here, for `Scenario` to process

    def propose_versions(self, region: str) -> str:
        """Propose a version that all fronts accept, one that some reject, and one that all accept again."""
        names = [name for name in self.population.current if self.population.region_of[name] == region]
        rejecting = sorted(names)[: max(1, round(len(names) * REJECTING_SHARE))]
        self.propose(region, names, [])
        self.propose(region, names, rejecting)
        self._check_reported_rejections(rejecting)
        self.propose(region, names, [])
        return f"version {self.version}, {len(rejecting)} fronts rejected the version before"

    def propose(self, region: str, peers: list[str], rejecting: list[str]) -> None:
        """Propose a document that lists the peers without `rejecting`, and wait until it is in force."""
        path = self.settings_path.parent / "document.textproto"
        path.write_text(document_text(self.version, region, peers, rejecting))
        began = time.monotonic()
        self._run_propose_command(path)
        self.outcome.command_seconds.append(time.monotonic() - began)
        self.version += 1
        self._wait_until_in_force(began, rejecting)

    def _run_propose_command(self, path: Path) -> None:
        command = [sys.executable, "-O", "-m", "marbleglade", "control", "propose"]
        process = subprocess.Popen(
            [*command, str(self.settings_path), str(path)], stdout=subprocess.PIPE, stderr=subprocess.STDOUT
        )
        end = time.monotonic() + PROPOSE_TIMEOUT_S
        while process.poll() is None and time.monotonic() < end:
            gevent.sleep(0.02)
        if process.poll() is None:
            process.kill()
        output = process.communicate()[0].decode("utf-8", "replace").strip()
        if process.returncode:
            raise ProposalError(f"control propose ended with exit code {process.returncode}: {output}")

    def _wait_until_in_force(self, began: float, rejecting: list[str]) -> None:
        end = time.monotonic() + IN_FORCE_TIMEOUT_S
        while time.monotonic() < end:
            reports = self.population.collect()
            versions = {state.front: state.version for report in reports for state in report.fronts}
            missing = [name for name, version in versions.items() if version != self.version]
            if set(missing) <= set(rejecting):
                self.outcome.in_force_seconds.append(time.monotonic() - began)
                if len(missing) != len(rejecting):
                    self.outcome.failures.append(
                        f"version {self.version} is in force at fronts that must reject it"
                    )
                return
            gevent.sleep(POLL_INTERVAL_S)
        self.outcome.failures.append(f"version {self.version} is not in force at {len(missing)} fronts")

    def _check_reported_rejections(self, rejecting: list[str]) -> None:
        end = time.monotonic() + STATUS_TIMEOUT_S
        reported: list[str] = []
        while time.monotonic() < end:
            report = self.watch.request(Collect(), StatusReport)
            self.reports.append(report)
            reported = report.refused if report.version == self.version else []
            if sorted(reported) == rejecting:
                break
            gevent.sleep(POLL_INTERVAL_S)
        else:
            self.outcome.failures.append(
                f"{len(rejecting)} fronts must reject version {self.version}, but the status lists "
                f"{len(reported)} that do"
            )
        self.outcome.rejecting += rejecting
        self.outcome.reported_rejecting += [name for name in reported if name in rejecting]
