"""Runs the program with the wrong clock of a region.

Arguments: OFFSET_MS DRIFT_PPM DRIFTS_SINCE_NS, then those of the program.
"""

import sys

from marbleglade.runtime import clock
from marbleglade.testing.object_store import RegionClock

if __name__ == "__main__":
    offset_ms, drift_ppm, drifts_since_ns, *arguments = sys.argv[1:]
    region_clock = RegionClock(float(offset_ms), float(drift_ppm))
    region_clock.start = int(
        drifts_since_ns
    )  # the drift of all processes in a region starts at the same time
    clock.shift_unix_time(region_clock() - clock.unix_ns())
    clock.unix_ns = region_clock  # times that are converted with the shift do not include the drift
    sys.argv = ["marbleglade", *arguments]
    from marbleglade.__main__ import main

    sys.exit(main())
