#!/usr/bin/env bash
# Builds the stand-ins of the review cases. They are written in Python 3 (standard library only) and need no
# compiler; this checks the interpreter and that all of them compile. Nothing is left behind.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common/*.py [0-9]*/case.py <<'END'
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
print("stand-ins compile:", len(sys.argv) - 1)
END
