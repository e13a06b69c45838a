#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/9 start. They are Python and
# need no build: this checks that the interpreter is there and takes them.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins-2/*.py review/[6-9]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
