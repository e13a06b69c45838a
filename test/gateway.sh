#!/usr/bin/env bash
# Guards the gateway as a process: settings with faults are all named and refused,
# valid ones accepted, and a short fault soak with fixed seeds breaks no promise.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
gateway=$build/bin/teaselhill-gateway
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
status=0
"$gateway" 2>"$folder/err" || status=$?
[ "$status" = 7 ]
grep -q -- '--settings' "$folder/err"
echo '{"node":"n","listen":{"front":"nowhere"},"bounds":{"graceS":"8"}}' >"$folder/bad.json"
status=0
TEASELHILL_BOOT=$folder/bad.json "$gateway" 2>"$folder/err" || status=$?
[ "$status" = 7 ]
for field in zone listen.front listen.ready bounds.graceS provider.addr; do
  grep -q "^$field: \|: $field: " "$folder/err"
done
status=0
TEASELHILL_BOOT=$folder/none.json "$gateway" 2>"$folder/err" || status=$?
[ "$status" = 7 ]
"$gateway" --version | grep -q '^[0-9]'
"$gateway" --help | grep -q -- '--check-settings'
cat >"$folder/good.json" <<'JSON'
{"node":"n","zone":"z","ip":"127.0.0.1",
 "listen":{"front":"127.0.0.1:1","ready":"127.0.0.1:2"},"limits":{"maxFds":1024},
 "bounds":{"graceS":8,"retryRatio":0.2,"retryWindowS":10,"retryExtra":54,"drainMs":2000},
 "provider":{"addr":"127.0.0.1:3"}}
JSON
"$gateway" --settings "$folder/good.json" --check-settings | grep -q valid
for seed in 1 2; do
  SKIP_BUILD=1 scripts/soak.sh --seed "$seed" --seconds 8 --logs "$folder/$seed"
done
SKIP_BUILD=1 scripts/soak.sh --regressions
