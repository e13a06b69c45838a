#!/usr/bin/env bash
# Guards against hosts that miss what is written at offsets which a store that came
# back from an older copy gives out again, and so send to upstreams that have left.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
play() { # SEED ARGUMENTS...
  seed=$1
  shift
  if SKIP_BUILD=1 scripts/soak.sh --seed "$seed" --seconds 20 --logs "$folder/$seed" "$@" >"$folder/$seed.out" 2>&1; then
    echo "passed: seed $seed"
  else
    echo "FAILED: seed $seed"
    cat "$folder/$seed.out"
    touch "$folder/failed"
  fi
}
for seed in 41 42 43 46; do
  play "$seed" --faults restore_store change_config replace_upstream &
done
for seed in 44 45; do
  play "$seed" --crashing 1 --new-ids --faults restore_store change_config &
done
wait
[ ! -e "$folder/failed" ]
