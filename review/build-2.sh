#!/bin/sh
# Checks the stand-ins of cases 6 to 10; they need nothing but Python 3.11.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for folder in ("standins-2", "6", "7", "8", "9", "10"):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
