#!/usr/bin/env bash
# Guards against upstreams that end because the fleet sends them more requests than
# they have room for, although they say that they are brittle; and against capacity
# that is left unused meanwhile.
set -eu
cd "$(dirname "$0")/.."
. scripts/lib/soak_cases.sh

# name | arguments of the soak
cases="seven-hosts | --seed 91 --processes 7 --slots 4 --brittle 3
more-slots | --seed 92 --processes 7 --slots 8 --brittle 5
four-hosts | --seed 93 --processes 4 --slots 2 --brittle 2
store-away | --seed 94 --processes 7 --slots 4 --brittle 3 --store-away
little-memory | --seed 95 --processes 7 --slots 8 --room 4 --brittle 3
less-memory | --seed 96 --processes 7 --slots 8 --room 2 --brittle 3 --known-red falls
many-slots | --seed 97 --processes 7 --slots 16 --room 6 --brittle 2"

soak_cases 2 --seconds 20 --faults burst_of_drafts "$@" <<<"$cases"
