#!/usr/bin/env bash
# Formats all C++ sources; with --check only reports files that differ.
set -eu
cd "$(dirname "$0")/.."
files=$(git ls-files --cached --others --exclude-standard '*.cc' '*.h' | while read -r f; do [ -f "$f" ] && echo "$f"; done)
if [ "${1:-}" = "--check" ]; then
  # shellcheck disable=SC2086
  clang-format --dry-run -Werror $files
else
  # shellcheck disable=SC2086
  clang-format -i $files
fi
