#!/usr/bin/env bash
# Guards against a request that crashes each upstream that runs it and is sent on
# for as long as its caller repeats it, at any host; and against innocent requests
# that are refused because they ran beside it.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for seed in 1 2 3; do
  SKIP_BUILD=1 scripts/soak.sh --seed "$seed" --seconds 12 --crashing 1 \
    --faults none --logs "$folder/$seed"
done
