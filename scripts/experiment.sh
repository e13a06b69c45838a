#!/usr/bin/env bash
# Runs one experiment with real processes and stand-ins. The last line of the
# output is a JSON object: the load tool's report with the policy, the seed, the
# share of the engines' capacity that became goodput, and whether the bounds of
# the experiment held. Exit 0 when they held.
#
# An experiment is a file scripts/experiments/NAME.sh that sets `description`,
# `default_seconds` (at most 45) and defines:
#   setup    adds and starts platform, upstreams and hosts (scripts/lib/cluster.sh)
#   streams  prints the streams of the load plan (docs/load-plan.md) as a JSON list
#   faults   optional: runs beside the load; `at SECOND command...` waits
#   extra    optional: prints a JSON object with further fields, after the load
#   bounds   prints a jq filter that is true when the stated targets hold
set -eu
cd "$(dirname "$0")/.."

usage() {
  echo "usage: $0 NAME [--seed N] [--policy adaptive|least-load|round-robin-fifo] [--seconds N] | --list" >&2
  exit 7
}

list() {
  local file
  for file in scripts/experiments/*.sh; do
    (. "$file"; printf '%-20s %s\n' "$(basename "$file" .sh)" "$description")
  done
}

[ $# -ge 1 ] || usage
if [ "$1" = "--list" ]; then list; exit 0; fi
name=$1
shift
[ -f "scripts/experiments/$name.sh" ] || usage
seed=1
policy=adaptive
seconds=
while [ $# -gt 0 ]; do
  case "$1" in
    --seed) seed=$2; shift 2 ;;
    --policy) policy=$2; shift 2 ;;
    --seconds) seconds=$2; shift 2 ;;
    *) usage ;;
  esac
done
case "$policy" in
  adaptive) HOST_ARGUMENTS="--routing-policy adaptive --admission-policy tiered" ;;
  least-load) HOST_ARGUMENTS="--routing-policy least-load --admission-policy fifo" ;;
  round-robin-fifo) HOST_ARGUMENTS="--routing-policy round-robin --admission-policy fifo" ;;
  *) usage ;;
esac

build=${BUILD_DIR:-build}
if [ "${SKIP_BUILD:-0}" != 1 ]; then
  scripts/build.sh >"$build.experiment.log" 2>&1 || { tail -50 "$build.experiment.log"; exit 1; }
fi
. scripts/lib/cluster.sh
. scripts/lib/figures.sh
faults() { :; }
extra() { echo '{}'; }
. "scripts/experiments/$name.sh"
: "${seconds:=$default_seconds}"
HOST_ARGUMENTS="$HOST_ARGUMENTS --seed $seed"
cluster_init "$build"
capacity=0 # tokens/s of all engines together, added up by add_sized_engine
setup

plan_file() {
  cat <<PLAN
{"seed": $seed, "duration_s": $seconds, "drain_s": ${drain_seconds:-30},
 "routers": ${routers:-$(router_urls)}, "router_phases": ${router_phases:-[]}, ${health_checks:+"\"health_checks\": $health_checks,"}
 "journal_files": $(journal_files), "streams": $(streams)}
PLAN
}

# Waits until SECOND of the load, then runs the command.
at() { # second command...
  local wait_ms=$((load_started + $(awk "BEGIN{printf \"%d\", $1 * 1000}") - $(date +%s%3N)))
  shift
  if [ "$wait_ms" -gt 0 ]; then sleep "$(awk "BEGIN{print $wait_ms/1000}")"; fi
  echo "$*" >&2
  "$@"
}

plan_file >"$RUN/plan.json"
load_started=$(date +%s%3N)
faults &
faults_pid=$!
"$BIN/teaselhill-load" --plan "$RUN/plan.json" --csv "$RUN/requests.csv" >"$RUN/load.log" 2>"$RUN/load.err" ||
  { cat "$RUN/load.err" >&2; exit 1; }
wait "$faults_pid" || true
extra >"$RUN/extra.json"
if [ -n "${CSV:-}" ]; then cp "$RUN/requests.csv" "$CSV"; fi
tail -1 "$RUN/load.log" | jq -c --arg name "$name" --arg policy "$policy" --argjson seed "$seed" \
  --argjson capacity "$capacity" --argjson seconds "$seconds" --slurpfile extra "$RUN/extra.json" '
  . + {experiment: $name, policy: $policy, seed: $seed, seconds: $seconds,
       goodput_ratio: (if $capacity > 0 then .goodput_tokens / ($capacity * $seconds) else null end)}
    + $extra[0]' >"$RUN/result.json"
jq -c ". + {bounds_hold: ($(bounds))}" "$RUN/result.json"
jq -e "$(bounds)" "$RUN/result.json" >/dev/null
