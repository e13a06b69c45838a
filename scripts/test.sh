#!/usr/bin/env bash
# Installs packages, builds, checks format, lints, runs all tests with a fixed
# seed, then the process-level tests in test/. Tests listed in KNOWN-RED.txt are
# passed over and printed; any other failure fails the run.
set -eu
cd "$(dirname "$0")/.."
export RC_PARAMS="seed=20261203"
build=${BUILD_DIR:-build}
scripts/build.sh
scripts/format.sh --check
scripts/lint.sh

# Lines of KNOWN-RED.txt: test binary | test case | command and seed | seen | issue
known_red() { # prints "binary|case" a line
  [ -f KNOWN-RED.txt ] || return 0
  grep -v '^#' KNOWN-RED.txt | awk -F' *[|] *' 'NF >= 5 {print $1 "|" $2}'
}

failed=0
excluded=$(known_red | cut -d'|' -f1 | sort -u | paste -sd'|')
ctest --test-dir "$build" --output-on-failure -j 6 ${excluded:+-E "^($excluded)$"} || failed=1
for binary in $(known_red | cut -d'|' -f1 | sort -u); do
  skipped=()
  while IFS='|' read -r name case; do
    if [ "$name" = "$binary" ]; then
      echo "known red, passed over: $name: $case"
      skipped+=("~$case")
    fi
  done < <(known_red)
  case $binary in
    *_tests) "$build/$binary" "${skipped[@]}" || failed=1 ;;
  esac
done

for test in test/*.sh; do
  [ -f "$test" ] || continue
  if known_red | cut -d'|' -f1 | grep -qx "$test"; then
    echo "known red, passed over: $test"
    continue
  fi
  if SKIP_BUILD=1 bash "$test" >"$build/$(basename "$test").log" 2>&1; then
    echo "passed: $test"
  else
    echo "FAILED: $test"
    tail -30 "$build/$(basename "$test").log"
    failed=1
  fi
done
exit $failed
