"""Benchmark of maintenance plans carried out by the fronts, compared with two baselines.

It measures real front processes under load with faults drawn from the seed, and hundreds of simulated fronts
that run the fleet code on simulated time. The baselines are a fixed schedule, and a lock without leases or
majority. All figures come from stand-ins on loopback and simulated machines.
"""
