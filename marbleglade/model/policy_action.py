"""Actions of a policy that affect an upstream rather than a single request, for the log."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from .upstream import Upstream


class PolicyActionKind(Enum):
    """The kinds of actions; the values are written to the log."""

    EJECTED = "ejected"


class PolicyAction(NamedTuple):
    """One action of the policy on an upstream.

    Attributes:
        kind: The kind of the action.
        upstream: The upstream that the action affects.
    """

    kind: PolicyActionKind
    upstream: Upstream

    def log_fields(self) -> dict[str, str]:
        """Return the fields of the log event `policy`."""
        return {
            "action": self.kind.value,
            "upstream": self.upstream.name.decode(),
            "role": self.upstream.role.name.lower(),
        }
