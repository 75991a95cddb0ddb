#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it
# without the disruption. What was sent, answered and run is written to record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
root=$(pwd)
test -x .venv/bin/python || exit 2
exec .venv/bin/python "$root/review/9/case.py" "$root/review/9/record.txt"
