#!/bin/sh
# Builds what the cases 6 to 10 need beside the build of deploy/balancer.toml. Their stand-ins are Python without a
# package of their own; they are compiled once, in memory, to find a broken copy before a case starts.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "not built: see the build of deploy/balancer.toml"; exit 2; }
exec .venv/bin/python - <<'PYTHON'
from pathlib import Path

for path in sorted([*Path("review/lab2").glob("*.py"), *Path("review").glob("[6-9]/*.py"), *Path("review").glob("10/*.py")]):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
