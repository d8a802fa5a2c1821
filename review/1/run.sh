#!/bin/sh
# Writes record.txt in this folder. Exits with 1 if the rule was broken, 0 if
# it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. exec python3 -S case.py
