#!/usr/bin/env bash
# Fault soak: real gateways as processes, faults from outside, promises checked
# from what callers and upstreams see. The last line is a JSON object; exit 1 if
# a promise was broken.
#   scripts/soak.sh [--seed N] [--seconds N] [--processes N] [--logs FOLDER]
#   scripts/soak.sh --regressions   plays each seed of scripts/soak/seeds.txt
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
[ -n "${SKIP_BUILD:-}" ] || scripts/build.sh teaselhill-gateway >/dev/null
play() { python3 "${SOAK_PROGRAM:-scripts/soak/soak.py}" --binary "$build/bin/teaselhill-gateway" "$@"; }
if [ "${1:-}" = "--regressions" ]; then
  failed=0
  while IFS='|' read -r arguments cause; do
    case $arguments in \#* | '') continue ;; esac
    # Promises that KNOWN-RED.txt lists for this command do not fail it.
    known=$(grep -F -- "| scripts/soak.sh ${arguments% } |" KNOWN-RED.txt |
      sed -n 's/^[^|]*| promise \([a-z_]*\):.*/--known-red \1/p' || true)
    [ -z "$known" ] || echo "known red, passed over: scripts/soak.sh $arguments: ${known#* }"
    # shellcheck disable=SC2086
    play $arguments $known || { echo "FAILED: $arguments ($cause)"; failed=1; }
  done <scripts/soak/seeds.txt
  exit $failed
fi
play "$@"
