"""Messages between fleet agents: membership gossip, load reports and the aggregated load view."""

from __future__ import annotations

from .gossip_messages import Gossip
from .load_view import AggregatedView, FrontReport

FleetMessage = Gossip | FrontReport | AggregatedView
