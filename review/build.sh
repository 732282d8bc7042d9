#!/usr/bin/env bash
# The stand-ins are Python and need no build beyond that of the deploy file; this checks that they load.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps
python3 -c 'import standins.platform_store'
python3 - <<'P'
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
P
