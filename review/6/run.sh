#!/usr/bin/env bash
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no front is stopped.
cd "$(dirname "$0")" || exit 2
exec timeout 116 python3 case.py
