#!/usr/bin/env bash
# Guards against an upstream that names a limit in its answers and gets more than
# that, because each host applies the limit to itself or none knows it; and against
# limits that are left unused while callers are refused.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# name | arguments of the soak
cases="some-of-many-hosts | --seed 41 --processes 7 --faults limit_upstream
restarts-of-hosts | --seed 42 --processes 7 --faults limit_upstream terminate kill
restarts-of-upstreams | --seed 43 --faults limit_upstream crash_upstream
store-away | --seed 44 --processes 7 --store-away --faults limit_upstream
all-limited | --seed 45 --processes 7 --faults none --limit-all 3
all-limited-to-one | --seed 46 --processes 7 --faults none --limit-all 1"

play() { # NAME ARGUMENTS...
  name=$1
  shift
  if SKIP_BUILD=1 scripts/soak.sh --seconds 20 --logs "$folder/$name" "$@" >"$folder/$name.out" 2>&1; then
    echo "passed: $name"
  else
    echo "FAILED: $name"
    cat "$folder/$name.out"
    touch "$folder/failed"
  fi
}

running=0
while IFS='|' read -r name arguments; do
  # shellcheck disable=SC2086
  play ${name% } $arguments &
  running=$((running + 1))
  if [ "$running" = 3 ]; then
    wait
    running=0
  fi
done <<<"$cases"
wait
[ ! -e "$folder/failed" ]
