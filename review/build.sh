#!/bin/bash
# Builds every stand-in that a script of this folder starts. They are Python 3 programs without packages, so
# this only checks that they can be read.
set -e
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import ast
import glob

for path in sorted(glob.glob("lib/*.py") + glob.glob("[0-9]/*.py")):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
    print("checked", path)
PYTHON
