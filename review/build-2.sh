#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the system itself: their
# stand-ins are plain Python without dependencies, so their syntax is checked only.
set -euo pipefail
shopt -s nullglob
cd "$(dirname "$0")"
python3 - stand-2/*.py [6-9]/case.py 1[0]/case.py <<'P'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
P
