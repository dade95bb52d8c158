"""Measurements on loopback against stand-ins: each prints a table, and one JSON object as its last line."""
