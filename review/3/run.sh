#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
export PYTHONPATH="$(pwd)/review/standins" PYTHONDONTWRITEBYTECODE=1
exec .venv/bin/python "$(pwd)/review/3/case.py"
