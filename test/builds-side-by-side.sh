#!/usr/bin/env bash
# Guards against a build that does not understand what the one before it writes to
# the fleet's log, sends to other hosts or relays to them, or the other way round:
# every second host starts with the build of the last landing, and these are
# replaced one after the other.
set -eu
cd "$(dirname "$0")/.."
. scripts/lib/soak_cases.sh
build=${BUILD_DIR:-build}
last_landing=39983f5

old=$build/production-$last_landing
if [ ! -x "$old/build/bin/teaselhill-gateway" ]; then
  mkdir -p "$old"
  git archive "$last_landing" | tar -x -C "$old"
  cmake -S "$old" -B "$old/build" -G Ninja -DTEASELHILL_TESTS=OFF >/dev/null
  ninja -C "$old/build" teaselhill-gateway >/dev/null
fi

# name | arguments of the soak
cases="records | --seed 91 --versions 2 --takes 0.3 --faults upgrade_host kill
relays | --seed 92 --faults upgrade_host cut_hosts_off
crashes | --seed 93 --crashing 1 --faults upgrade_host kill
upstreams | --seed 94 --versions 2 --takes 0.3 --faults upgrade_host replace_upstream limit_upstream say_leaving"

soak_cases 2 --seconds 24 --processes 7 --production "$old/build/bin/teaselhill-gateway" "$@" <<<"$cases"
