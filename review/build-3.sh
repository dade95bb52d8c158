#!/bin/sh
# Run once, after the build of the deploy file: what the cases 11 to 13 need beside it. They start gateways and
# maintenance, which need requirements-extras.txt; their stand-ins are the project's own, in marbleglade/testing.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import click, google.protobuf, lmdb, structlog, xxhash' 2> /dev/null ||
    .venv/bin/pip -q install -r requirements-extras.txt
.venv/bin/python -m compileall -q -o 0 marbleglade review/shared3.py review/regions3.py review/1[1-3]
