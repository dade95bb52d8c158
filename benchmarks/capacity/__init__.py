"""Measures what each role of a deployment costs by its size, and makes the tables of the capacity page."""
