#!/bin/sh
# Builds what the scripts of the second review start. Their stand-ins are one module on the standard
# library of Python 3.11 alone, so that there is nothing to build but the module itself.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile review/standins2.py
