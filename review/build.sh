#!/bin/sh
# The stand-ins are Python programs of the standard library alone: this checks that they compile. The program under test is
# built by the command of the deploy file.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - lib/*.py ./*/case.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
CHECK
