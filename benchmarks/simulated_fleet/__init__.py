"""Thousands of fronts on simulated time: the real policy and fleet agent over simulated upstreams."""
