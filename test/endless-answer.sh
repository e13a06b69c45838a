#!/usr/bin/env bash
# Guards against upstreams whose answers do not end, in a head or a body: a host that
# keeps all of it runs out of memory, and one that reads on never answers its caller.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for seed in 61 62; do
  SKIP_BUILD=1 scripts/soak.sh --seed "$seed" --seconds 12 \
    --faults endless_upstream --logs "$folder/$seed"
done
