#!/bin/sh
# After the build of deploy/balancer.toml, from the root, with the package mirrors at hand: the libraries that gateways and
# control nodes need. The stand-ins of the cases are Python files that need nothing else.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/pip -q install -r requirements-extras.txt || exit 2
.venv/bin/python -m compileall -q -o 0 -o 1 marbleglade review/shared2.py
