"""Benchmark of two regions with gateways, fronts, caches and clients, under faults drawn from a seed.

One run compares three variants under the same faults: gateways; gateways that neither keep a request journal
nor resume requests; and no gateway, where a front connects directly to the other region's upstreams with the
caches' protocol. All figures come from stand-ins on loopback.
"""
