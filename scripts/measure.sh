#!/usr/bin/env bash
# Runs an experiment with one policy for each seed, one at a time, and prints the
# median and the worst of the figures that its bounds use.
set -eu
cd "$(dirname "$0")/.."
if [ $# -lt 3 ]; then
  echo "usage: $0 NAME adaptive|least-load|round-robin-fifo SEED..." >&2
  exit 7
fi
name=$1
policy=$2
shift 2
results=$(mktemp)
trap 'rm -f "$results"' EXIT
for seed in "$@"; do
  # A run whose bounds do not hold still has figures.
  scripts/experiment.sh "$name" --policy "$policy" --seed "$seed" 2>/dev/null | tail -1 >>"$results" || true
  if [ -n "${RESULTS:-}" ]; then tail -1 "$results" >>"$RESULTS"; fi
done
jq -sr --arg name "$name" --arg policy "$policy" '
  def median: sort | .[(length - 1) / 2 | floor];
  def figure(text; f; worst): [.[] | f | select(. != null)] |
    if length == 0 then empty else "\(text) \(median * 10000 | round / 10000) (\(worst * 10000 | round / 10000))" end;
  "| \($name) | \($policy) | \(length) seeds, \([.[] | select(.bounds_hold)] | length) within bounds | " + ([
    (.[0].attainment | keys[]) as $class | figure($class; .attainment[$class]; min)] + [
    figure("wasted"; .wasted_ratio; max),
    figure("longest gap of pull s"; .longest_gap_s.pull; max),
    figure("goodput at full load"; .full_load_goodput_ratio; min),
    figure("recovered"; .recovered_ratio; min),
    figure("crashes"; .crashes; max),
    figure("late runs"; (.leaving // null | if . then [.[].late] | add else null end); max),
    figure("most in 5 s"; .most_5s; max),
    figure("before"; .before; min), figure("moved"; .moved; min), figure("killed"; .killed; min)]
    | join("; ")) + " |"' "$results"
