#!/bin/sh
# Build the stand-ins that the scripts of cases 11 to 15 start. They are Python and use the standard
# library only, so that this checks that the interpreter can compile them.
set -eu
cd "$(dirname "$0")"
for source in standins3.py 1[1-5]/*.py; do
    [ -f "$source" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
