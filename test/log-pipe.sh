#!/usr/bin/env bash
# Guards traffic and shutdown against a log pipe that nobody reads.
set -eu
cd "$(dirname "$0")/.."
. scripts/lib/cluster.sh
cluster_init "${BUILD_DIR:-build}"
start_platform
add_engine e1 d1 job-sheet --token-ms 0
add_service office1 d1 office
add_host h1 d1
mkfifo "$RUN/h1.log"
exec 9<>"$RUN/h1.log" # keeps the pipe open and reads nothing
HOST_ARGUMENTS="--log-level info"
start_host h1
publish_host_list
publish_configuration examples/brazos.json
wait_ready
sleep 3 # the share of the limits follows the demand
url="http://$(address_of h1 "${HOSTS[@]}"):8080/v1/chat/completions"
answered=0
for _ in $(seq 300); do
  code=$(curl -s -m 5 -o /dev/null -w '%{http_code}' "$url" -H 'Authorization: Bearer brazos-trucks' \
    -d '{"model":"job-sheet","max_tokens":3,"messages":[{"role":"user","content":"x"}]}')
  if [ "$code" = 200 ]; then answered=$((answered + 1)); fi
done
echo "answered $answered of 300"
[ "$answered" = 300 ]
kill -TERM "${PIDS[h1]}"
for _ in $(seq 100); do
  kill -0 "${PIDS[h1]}" 2>/dev/null || exit 0
  sleep 0.1
done
echo "the host did not end while its log pipe was full"
exit 1
