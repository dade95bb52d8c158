"""Typed commands and replies between the scale run and its worker processes, one JSON array a line."""
