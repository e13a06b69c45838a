#!/usr/bin/env bash
# Demo: two failure domains with two entry hosts and three engines each, two
# plain services, log, host list and weight store. Runs a mixed load in which one
# engine is killed and one entry host is shut down gracefully. The last line of
# the output is a JSON object; the exit is non-zero when an answer was doubled,
# cut short, missing or falsely reported as not run.
set -eu
cd "$(dirname "$0")/.."
seed=1
seconds=20
while [ $# -gt 0 ]; do
  case "$1" in
    --seed) seed=$2; shift 2 ;;
    --seconds) seconds=$2; shift 2 ;;
    *) echo "usage: $0 [--seed N] [--seconds N]" >&2; exit 7 ;;
  esac
done
build=${BUILD_DIR:-build}
if [ "${SKIP_BUILD:-0}" != 1 ]; then
  scripts/build.sh >"$build.demo.log" 2>&1 || { tail -50 "$build.demo.log"; exit 1; }
fi
. scripts/lib/cluster.sh
cluster_init "$build"
echo "starting platform, upstreams and hosts" >&2
start_platform
for domain in d1 d2; do
  for number in 1 2; do
    add_engine "$domain-sheet$number" $domain job-sheet --token-ms 15 --max-batch 16 --report-lag-ms 400
  done
  add_engine "$domain-clause1" $domain clause --token-ms 15 --max-batch 16 --report-lag-ms 400
  add_host "$domain-host1" $domain
  add_host "$domain-host2" $domain
done
add_service office1 d1 office
add_service tagging1 d2 tagging
for entry in "${HOSTS[@]}"; do start_host "${entry%%=*}"; done
publish_host_list
publish_configuration examples/brazos.json examples/punjab.json
wait_ready
ctl status >&2
cat >"$RUN/plan.json" <<PLAN
{
  "seed": $seed, "duration_s": $seconds, "drain_s": 30,
  "routers": $(router_urls),
  "journal_files": $(journal_files),
  "streams": [
    {"name": "draft", "key": "brazos-trucks", "class": "draft", "tier": 0, "model": "job-sheet", "rate": 6, "prefix_pool": 4, "prefix_tokens": 256, "max_tokens": 160, "target_ms": 8000, "first_token_target_ms": 1800, "retries": 3, "disconnect_share": 0.03},
    {"name": "sheet", "key": "brazos-office", "class": "sheet", "tier": 2, "model": "job-sheet", "rate": 3, "streamed": false, "max_tokens": 200, "target_ms": 20000, "non_idempotent": true, "resend_share": 0.2, "retries": 3},
    {"name": "pull", "key": "brazos-office", "class": "pull", "tier": 4, "model": "job-sheet", "rate": 3, "max_tokens": 300, "target_ms": 40000, "retries": 3},
    {"name": "tag", "key": "punjab-inspectors", "class": "tag", "tier": 0, "service": "tagging", "rate": 4, "target_ms": 4000, "non_idempotent": true, "resend_share": 0.2, "retries": 3},
    {"name": "clause", "key": "punjab-inspectors", "class": "clause", "tier": 1, "model": "clause", "rate": 3, "max_tokens": 120, "target_ms": 10000, "first_token_target_ms": 1800, "retries": 3},
    {"name": "report", "key": "punjab-reports", "class": "report", "tier": 4, "model": "clause", "rate": 2, "max_tokens": 400, "target_ms": 60000, "retries": 3}
  ]
}
PLAN
(
  sleep $((seconds / 3))
  echo "killing engine d1-sheet1" >&2
  kill -KILL "${PIDS[d1-sheet1]}"
  sleep $((seconds / 3))
  echo "shutting down host d2-host2" >&2
  kill -TERM "${PIDS[d2-host2]}"
) &
faults=$!
"$BIN/teaselhill-load" --plan "$RUN/plan.json" --csv "$RUN/requests.csv" >"$RUN/load.log" || true
wait $faults
status=0
wait "${PIDS[d2-host2]}" || status=$?
unset 'PIDS[d2-host2]'
if [ $status -ne 0 ]; then echo "host d2-host2 exited with $status" >&2; fi
result=$(tail -1 "$RUN/load.log")
if [ "${KEEP:-0}" = 1 ]; then cp "$RUN/requests.csv" "$build/demo.csv"; fi
echo "$result"
for field in duplicate_runs incomplete_answers unanswered false_not_run; do
  value=$(echo "$result" | sed -n "s/.*\"$field\":\([0-9]*\).*/\1/p")
  if [ "${value:-1}" != 0 ]; then status=1; fi
done
exit $status
