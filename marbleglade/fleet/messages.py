"""What fleet agents say to one another: gossip of members, load reports and the aggregated view."""

from __future__ import annotations

from .members import Gossip
from .views import Report, View

FleetMessage = Gossip | Report | View
