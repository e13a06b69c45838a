#!/usr/bin/env bash
# Guards the check of a configuration as operators run it: the decoder's faults
# and notes are reported, the exit code tells faults from unreadable files, and
# no API key is printed.
set -eu
cd "$(dirname "$0")/.."
check=${BUILD_DIR:-build}/bin/teaselhill-check-config
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
key=wa5xwyhks8nbkxxmibw6

# config VERSION SERVICE MIN KEYS
config() {
  cat <<END
{"version":$1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/p/",
  "kind":"streaming","timeoutMs":5000,"goalMs":600,"service":"$2"}],
 "services":[{"name":"a","scale":{"min":$3,"max":4,"bootS":1}}],
 "tenants":[{"name":"t","apiKeys":[$4]}]}
END
}

# expect EXIT_CODE ARGUMENT...: leaves the output in $output.
expect() {
  local expected=$1 status=0
  shift
  output=$("$check" "$@" 2>&1) || status=$?
  if [ "$status" != "$expected" ]; then
    echo "exit code $status, not $expected: $*"
    echo "$output"
    exit 1
  fi
  if grep -q "$key" <<<"$output"; then
    echo "an API key is printed: $*"
    exit 1
  fi
}

config 7 a 1 "\"$key\"" >"$dir/good"
config 8 a 1 "\"$key\",\"$key\"" >"$dir/warned"
config 8 b 5 "\"$key\"" >"$dir/bad"
config 8 a 1 "7" >"$dir/undecodable"
: >"$dir/empty"

expect 0 "$dir/good"
expect 0 "$dir/warned"
grep -q "^warning: team 't': API key 'wa5x...' is listed twice" <<<"$output"
expect 4 "$dir/bad"
grep -q "^error: route 'r': service 'b' does not exist" <<<"$output"
grep -q "^error: scale of service a: min and max are out of range" <<<"$output"
expect 4 "$dir/undecodable"
grep -q "^error: configuration: an API key is not a string" <<<"$output"
expect 4 "$dir/good" --against "$dir/good"
grep -q "^error: version: " <<<"$output"
expect 4 "$dir/good" --against "$dir/undecodable"
grep -q "^error: configuration in force: " <<<"$output"
expect 0 "$dir/warned" --against "$dir/good" --json
grep -q '"valid":true' <<<"$output"
expect 7 "$dir/empty"
grep -q "is empty" <<<"$output"
expect 7 "$dir/none"
grep -q "cannot read '$dir/none'" <<<"$output"
expect 7 "$dir"
expect 7 "$dir/good" --against "$dir/none"
expect 7
