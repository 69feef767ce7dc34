#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python: there is nothing to build, so
# this only checks that Python reads them.
cd "$(dirname "$0")" || exit 1
for file in common-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
    "$file" || exit 1
done
