#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
# record.txt in this folder tells what was sent, answered and run.
set -u
cd "$(dirname "$0")"
PYTHONPATH=.. timeout -s INT -k 5 115 ../../.venv/bin/python scenario.py
case $? in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
