"""Benchmark of real fronts under injected faults; its checker decodes the network traffic independently."""
