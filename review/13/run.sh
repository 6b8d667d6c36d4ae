#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the leaving servers out.
cd "$(dirname "$0")" && exec python3 case.py
