#!/usr/bin/env bash
# Guards against answers that stop in the middle, or are followed by what is not
# theirs, and reach a caller as if they were whole; and against refusals that are
# written once more and taken for those of the next request.
set -eu
cd "$(dirname "$0")/.."
. scripts/lib/soak_cases.sh

# name | arguments of the soak
cases="failures-inside-streams | --seed 33 --upstream-faults break_off=0.03 fail_resumed=1
heads-that-stop | --seed 34 --upstream-faults cut_head=0.15
repeated-refusals | --seed 35 --upstream-faults refuse_twice=0.2
cut-off-hosts | --seed 36 --processes 7 --faults cut_hosts_off --upstream-faults break_off=0.03 fail_resumed=0.7 cut_head=0.05 --known-red blamed"

soak_cases 4 --seconds 15 --processes 4 --slots 8 --faults change_config "$@" <<<"$cases"
