#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." && exec python3 review/9/case.py
