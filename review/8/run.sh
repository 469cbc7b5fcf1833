#!/bin/sh
# Plays the case once; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || { echo "not built: see the build of deploy/balancer.toml"; exit 2; }
exec .venv/bin/python review/8/case.py
