#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the gateway: the stand-ins are Python programs, which are
# only compiled to find mistakes before a case runs.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import ast
import pathlib

folders = [pathlib.Path("testsuite/support"), pathlib.Path("review")]
for file in sorted(each for folder in folders for each in folder.rglob("*.py")):
    ast.parse(file.read_text(), str(file))
PYTHON
