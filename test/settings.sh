#!/usr/bin/env bash
# Guards the start of the daemon: wrong settings are all reported and it exits
# with the class of the result code; right ones are accepted.
set -eu
cd "$(dirname "$0")/.."
daemon=${BUILD_DIR:-build}/bin/teaselhilld
status=0
output=$(TEASELHILL_NO_SUCH=1 "$daemon" --http-port x 2>&1) || status=$?
[ "$status" = 7 ]
echo "$output" | grep -q 'TEASELHILL_NO_SUCH: no such setting'
echo "$output" | grep -q -- "--http-port: 'x' is not valid"
echo "$output" | grep -q -- '--log-url: missing'
"$daemon" --version | grep -q '^[0-9]'
"$daemon" --host h --domain d --address 127.0.0.1 --log-url http://127.0.0.1:1 \
  --peer-secret 0123456789abcdef --check-settings
