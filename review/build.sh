#!/bin/sh
# Builds what the cases start beside the balancer, after the `build` of the deploy file. The stand-ins are plain
# Python of the standard library: compiling them shows that they can be run.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
