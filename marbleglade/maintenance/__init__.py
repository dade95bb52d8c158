"""Maintenance: takes the machines of a plan out of service one after the other, under a quorum's lease."""
