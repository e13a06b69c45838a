#!/usr/bin/env bash
# Guards against requests that a host has read before or in a planned stop and that
# end with its connection, without an answer that tells whether they ran.
set -eu
cd "$(dirname "$0")/.."
. scripts/lib/soak_cases.sh
export SOAK_PROGRAM=scripts/soak/planned_stop.py

# name | arguments of the scenario
cases="four-hosts | --seed 301
seven-hosts | --seed 302 --processes 7 --callers 140
full-upstreams | --seed 303 --full-at 10
grace-of-3-s | --seed 305 --grace 3
short-answers | --seed 306 --grace 3 --answer-seconds 0.05 0.3
grace-of-12-s | --seed 307 --grace 12
second-stop | --seed 308 --further stop_second
two-at-once | --seed 309 --further stop_two
reloads | --seed 310 --further reload
configurations | --seed 311 --further configure
store-silent | --seed 312 --further silence_store
relayed | --seed 313 --processes 3 --further relay"

soak_cases 5 --answer-seconds 0.05 5 --slots 8 --caller-habits "$@" <<<"$cases"
