"""All routing, retry and fill decisions of a front. Without I/O; time and random numbers are passed in."""
