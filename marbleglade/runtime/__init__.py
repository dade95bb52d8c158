"""Basics for all other packages: clocks, logs, counters, errors, addresses, timeouts, event-loop monitor."""
