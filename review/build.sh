#!/usr/bin/env bash
# The stand-ins are Python programs that need only the standard library: this
# checks that they compile, and leaves nothing behind.
set -eu
cd "$(dirname "$0")"
python3 - lib/*.py [0-9]*/*.py <<'PYTHON'
import sys
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
print("stand-ins compile:", len(sys.argv) - 1, "files")
PYTHON
