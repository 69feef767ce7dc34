#!/usr/bin/env bash
# The stand-ins of the third review's scripts are Python and need no build;
# this checks that they can be run. Python 3.11 or later, no further packages.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - common-3/*.py 1[1-5]/case.py <<'CHECK'
import sys
import tomllib  # Needs Python 3.11.

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
    print("checked", path)
CHECK
