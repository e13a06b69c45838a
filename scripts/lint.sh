#!/usr/bin/env bash
# Runs clang-tidy over lib/, platform/ and tools/, or over the files named on the command line.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
files=${*:-$(git ls-files --cached --others --exclude-standard 'lib/*.cc' 'platform/*.cc' 'tools/*.cc')}
# clang-tidy reports counts of suppressed warnings on standard error.
# shellcheck disable=SC2086
if ! printf '%s\n' $files | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" 2>"$build/lint.err"; then
  grep -v 'warnings generated' "$build/lint.err" | head -20
  echo "lint failed"
  exit 1
fi
