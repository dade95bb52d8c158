"""Benchmarks on loopback against stand-ins; each prints one JSON object as its last line."""
