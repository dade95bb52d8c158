"""What all else stands on: clock, log, counters, errors, addresses, and the guard around risky work."""
