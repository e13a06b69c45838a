#!/usr/bin/env bash
# Guards against crashes that go uncounted because the address of the crashed
# upstream does not refuse connections, or because the request crashes its upstream
# some time after its start: the request is then sent on for as long as it comes.
# Guards against innocent requests that are refused for plain resets.
set -eu
cd "$(dirname "$0")/.."
. scripts/lib/soak_cases.sh

# name | arguments of the soak
cases="accepts-and-resets | --seed 21 --crashing 1 --crash-styles accept_and_reset --new-ids --faults none
accepts-and-resets-same-id | --seed 22 --crashing 1 --crash-styles accept_and_reset --faults none
restarts-at-once | --seed 23 --crashing 1 --crash-styles instant --new-ids --faults none
restarts-at-once-same-id | --seed 24 --crashing 1 --crash-styles instant --faults none
silent-then-reset | --seed 25 --crashing 1 --crash-styles silent_then_reset --new-ids --faults none
silent-then-reset-same-id | --seed 26 --crashing 1 --crash-styles silent_then_reset --faults none
two-that-crash-later | --seed 27 --crashing 2 --crash-after 0.3 --new-ids --faults none
two-of-all-styles | --seed 28 --crashing 2 --crash-styles refuse accept_and_reset instant silent_then_reset --new-ids --faults none
plain-resets | --seed 29 --faults disturb_upstream cut_upstream
crash-beside-resets | --seed 30 --crashing 1 --crash-styles accept_and_reset --new-ids --faults disturb_upstream cut_upstream"

soak_cases 5 --seconds 15 <<<"$cases"
