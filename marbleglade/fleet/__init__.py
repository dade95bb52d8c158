"""Membership, leadership, load views and anti-entropy among fronts, which exchange datagrams."""
