#!/usr/bin/env bash
# Compares the router with a direct call to the same stand-in engines in the same
# run. The last line of the output is a JSON object; see docs/MEASUREMENTS-RELAY.md.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
if [ "${SKIP_BUILD:-0}" != 1 ]; then
  scripts/build.sh >"$build.bench.log" 2>&1 || { tail -50 "$build.bench.log"; exit 1; }
fi
. scripts/lib/cluster.sh
cluster_init "$build"
HOST_ARGUMENTS="--traffic-threads 4 --log-level warning"
start_platform
# Fast engines for latency and rate, slow ones whose streams stay open.
for number in 1 2 3 4; do
  add_engine "fast$number" d1 fast --token-ms 0 --max-batch 256 --step-ms 1 --max-step-tokens 16 --prefill-tokens-per-second 1000000
done
add_engine slow1 d1 slow --token-ms 100 --batch-slowdown 0 --max-batch 2000
add_host h1 d1
start_host h1
publish_host_list
cat >"$RUN/contract.json" <<CONTRACT
{"customer": "bench", "teams": [{"name": "t", "key_hashes": ["$(printf bench | sha256sum | cut -d' ' -f1)"]}],
 "classes": [{"name": "x", "tier": 0}], "default_class": "x", "models": ["fast", "slow"]}
CONTRACT
publish_configuration "$RUN/contract.json"
wait_ready
sleep 2

router="http://$(address_of h1 "${HOSTS[@]}"):8080"
engines=""
for entry in "${ENGINES[@]}"; do
  case $entry in fast*) engines="$engines http://$(echo "$entry" | cut -d= -f2):9000" ;; esac
done
pid=${PIDS[h1]}
cpu_ticks() { awk '{print $14 + $15}' "/proc/$pid/stat"; }
resident_kib() { awk '/VmRSS/ {print $2}' "/proc/$pid/status"; }
bench() { "$BIN/teaselhill-bench" --threads 4 "$@"; }
field() { echo "$1" | jq ".$2"; }

# shellcheck disable=SC2086
bench --url "$router" --key bench --model fast --streams 64 --seconds 1 >/dev/null
ticks=$(cpu_ticks)
full=$(bench --url "$router" --key bench --model fast --streams 128 --tokens 1024 --seconds 6)
ticks=$(($(cpu_ticks) - ticks))
echo "full load: $full" >&2
# At half load each stream pauses for about as long as its answer takes. Direct
# and routed runs alternate, so that a change of the machine's load hits both.
half_arguments="--model fast --streams 32 --tokens 128 --think-ms 20 --seconds 3"
for round in 1 2 3; do
  # shellcheck disable=SC2086
  bench --url $engines $half_arguments >>"$RUN/direct"
  # shellcheck disable=SC2086
  bench --url "$router" --key bench $half_arguments >>"$RUN/routed"
done
echo "half load, direct:" >&2 && cat "$RUN/direct" >&2
echo "half load, routed:" >&2 && cat "$RUN/routed" >&2

open_streams=800
before=$(resident_kib)
bench --url "$router" --key bench --model slow --streams $open_streams --tokens 200 --seconds 6 >/dev/null &
client=$!
sleep 5
after=$(resident_kib)
wait $client || true

jq -cn --slurpfile direct "$RUN/direct" --slurpfile routed "$RUN/routed" --argjson full "$full" \
  --argjson ticks "$ticks" --argjson hertz "$(getconf CLK_TCK)" \
  --argjson kib "$((after - before))" --argjson streams $open_streams '
  def median(f): map(f) | sort | .[length / 2 | floor];
  {added_first_token_ms_p50: (($routed | median(.first_token_ms_p50)) - ($direct | median(.first_token_ms_p50))),
   added_first_token_ms_p99: (($routed | median(.first_token_ms_p99)) - ($direct | median(.first_token_ms_p99))),
   half_load_events_per_second: ($routed | median(.events_per_second)),
   events_per_second: $full.events_per_second,
   kib_per_stream: ($kib / $streams),
   cpu_us_per_event: ($ticks / $hertz * 1e6 / $full.events),
   failures: ($full.failures + ([$routed[].failures] | add))}'
