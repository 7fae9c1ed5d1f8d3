#!/bin/sh
# Builds the stand-ins of the cases: they are Python without dependencies, so all there is to do is to compile them.
# The deploy file's `build` has to be run before. Writes only below review/.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review tests/stand_ins tests/support/environment.py
