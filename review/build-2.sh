#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python files in lib-2/, for which nothing is compiled. Checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'PY'
import ast, pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in [*pathlib.Path("lib-2").glob("*.py"), *pathlib.Path(".").glob("[0-9]*/case.py")]:
    ast.parse(path.read_text(), str(path))
PY
