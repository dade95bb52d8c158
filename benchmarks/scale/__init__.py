"""The scale run: measures hundreds of lightweight fronts and a few real ones under purges and faults.

Start it with `python -m benchmarks.scale`; `__main__.py` defines the options.
"""
