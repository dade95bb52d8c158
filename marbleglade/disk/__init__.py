"""Copies on disk: what earns a place, what is written, and what holds after a crash."""
