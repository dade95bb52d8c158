#!/bin/sh
# Makes what the cases start. The stand-ins are Python files of this repository (`marbleglade/testing` and
# `review`) and run in the environment of the deploy file's build. Gateways, and fronts with a fleet or
# maintenance, need the pinned libraries of requirements-extras.txt too, as `make build` installs them.
set -eu
cd "$(dirname "$0")/.."
if ! .venv/bin/python -c "import gevent, orjson" 2>/dev/null; then
    python3 -m venv .venv
    .venv/bin/pip -q install -r requirements.txt
fi
if ! .venv/bin/python -c "import click, google.protobuf, structlog, xxhash" 2>/dev/null; then
    .venv/bin/pip -q install -r requirements-extras.txt
fi
.venv/bin/python -m compileall -q marbleglade review
