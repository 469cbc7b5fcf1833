#!/bin/sh
# Builds the stand-ins of the cases; run it after the build of deploy/balancer.toml. They are Python and need its
# environment and nothing else. Case 2 uses the project's own reader of files.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q cranecleat review
