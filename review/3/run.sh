#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
set -u
cd "$(dirname "$0")"
PYTHONPATH=.. timeout 115 ../../.venv/bin/python scenario.py
code=$?
if [ "$code" -gt 1 ]; then exit 2; fi
exit "$code"
