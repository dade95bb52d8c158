#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 116 .venv/bin/python review/trial-roll/case.py &
trap 'kill "$!"; wait "$!"; exit 2' TERM INT
wait "$!"
case $? in
    20) exit 0 ;;
    21) exit 1 ;;
    *) exit 2 ;;
esac
