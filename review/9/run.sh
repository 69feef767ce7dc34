#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves the disruption out; KEEP_LOGS=FOLDER keeps the logs.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
PYTHONDONTWRITEBYTECODE=1 exec timeout -k 5 115 python3 case.py
