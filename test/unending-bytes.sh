#!/usr/bin/env bash
# Guards against a host that runs out of memory because upstreams send bytes without
# end that are no answer, or callers large bodies, many at once; and against others'
# requests that are refused meanwhile.
set -eu
cd "$(dirname "$0")/.."
. scripts/lib/soak_cases.sh
export SOAK_PROGRAM=scripts/soak/unending.py

# name | arguments of the scenario
cases="mixed | mixed --seed 331 --processes 2 --callers 40
probes | probes --seed 332 --processes 2 --callers 40
one-event | one_event --seed 333 --processes 1 --callers 300
unframed | unframed --seed 334 --processes 1 --callers 300
bodies | bodies --seed 335 --processes 1 --callers 40
idle-readers | idle_readers --seed 336 --processes 2 --callers 200"

soak_cases 2 --ram-mb 110 --slots 8 "$@" <<<"$cases"
