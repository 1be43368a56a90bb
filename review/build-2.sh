#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start: Python programs, so this only checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 2
python3 - <<'PY'
import sys
for path in ["src/standin_fleet/faults.py", "src/standin_fleet/fleet.py", "review/standin-2/harness.py"]:
    compile(open(path).read(), path, "exec")
PY
