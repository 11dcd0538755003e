#!/bin/sh
# Compile the stand-ins and the scripts of the cases; they use the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile standins.py ./[1-5]/case.py
