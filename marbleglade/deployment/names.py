"""The format of region and gateway names, and the zone and kind name for gateways of other regions."""

from __future__ import annotations

import re

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,31}")  # of a region or a gateway
REMOTE_KIND = "away"  # zone and kind of the upstreams that are gateways of other regions
