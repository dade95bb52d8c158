"""One member's copy of the table of machines that are out of service."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..runtime.units import MILLISECOND_NS
from .quorum_messages import TableEntry, TableVersion

STAY_OUT_SHARE = 1 / 2  # of a lease; age of its confirmation at which a front's grant expires


@dataclass(slots=True)
class Grant:
    """Grant of a machine to be out of service.

    Attributes:
        started_ms: Start of its process when it was granted, in Unix milliseconds.
        granted_version: Version of the table that first contained the grant.
        granted_at: Time of the grant, ns.
        revoked_version: 0 if the grant is not revoked. At the leader that revoked it, the version of the
            table that does so. In a copy of another member's table 1, as messages contain only a flag.
        revoked_at: When the leader revoked it or, at a new leader, took over the table, ns; else 0.
    """

    started_ms: int
    granted_version: int
    granted_at: int
    revoked_version: int = 0
    revoked_at: int = 0


@dataclass(slots=True)
class LeaseTable:
    """The table, its version, and as of when each grant was last confirmed.

    Attributes:
        lease: Duration of the lease, ns.
        grants: The machines that are out of service, by machine key.
        confirmed_at: Latest time as of which a majority is known to hold each grant, ns, by machine key.
        version: Version of the table within a leader's term.
        committed: Latest version that a majority is known to hold.
        table_version: Term, leader and version of the table.
        member_numbers: Numbers of the members, which are machines too, by machine key.
    """

    lease: int
    grants: dict[int, Grant] = field(default_factory=dict)
    confirmed_at: dict[int, int] = field(default_factory=dict)
    version: int = 0
    committed: int = 0
    table_version: TableVersion = field(default_factory=TableVersion)
    member_numbers: dict[int, int] = field(default_factory=dict)

    def may_stay_out(self, machine: int, started_ms: int, now: int) -> bool:
        """Return whether a front has a grant for this process start that has not expired.

        Args:
            machine: Machine key of the front.
            started_ms: Start of its process, in Unix milliseconds.
            now: The current time.
        """
        grant = self.grants.get(machine)
        return (
            grant is not None
            and grant.started_ms == started_ms
            and not grant.revoked_version
            and machine in self.confirmed_at
            and now - self.confirmed_at[machine] < self.lease * STAY_OUT_SHARE
        )

    def committed_grants(self) -> dict[int, Grant]:
        """Return the grants that a majority holds, by machine key."""
        return {
            machine: grant
            for machine, grant in self.grants.items()
            if grant.granted_version <= self.committed
        }

    def entries(self, now: int) -> tuple[TableEntry, ...]:
        """Return the table in the form in which it is sent."""
        return tuple(
            TableEntry(
                machine,
                grant.started_ms,
                grant.granted_version,
                max(0, now - grant.granted_at) // MILLISECOND_NS,
                bool(grant.revoked_version),
            )
            for machine, grant in sorted(self.grants.items())
        )

    def replace(self, entries: Iterable[TableEntry], now: int) -> None:
        """Replace the grants by those of another member's table."""
        self.grants = {
            entry.machine: Grant(
                entry.started_ms,
                entry.granted_version,
                now - entry.age_ms * MILLISECOND_NS,
                int(entry.revoked),
            )
            for entry in entries
        }

    def confirm_committed(self, committed: int, confirmed_at: int) -> None:
        """Confirm, as of a time, the grants up to the committed version that are not revoked."""
        for machine, grant in self.grants.items():
            if grant.granted_version <= committed and not grant.revoked_version:
                self.confirmed_at[machine] = max(confirmed_at, self.confirmed_at.get(machine, confirmed_at))

    def forget_void_confirmations(self) -> None:
        """Delete the confirmations of grants that are revoked or no longer in the table."""
        self.confirmed_at = {
            machine: confirmed_at
            for machine, confirmed_at in self.confirmed_at.items()
            if machine in self.grants and not self.grants[machine].revoked_version
        }
