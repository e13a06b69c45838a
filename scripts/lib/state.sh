# Common parts of the experiments on state that outlives a host: two failure
# domains with three hosts and three engines each, about half of the capacity in
# use, keyed requests that callers send again to other hosts, and configuration
# changes during the run. Sourced by files in scripts/experiments/.

# Puts a record on the stream of order leases. A host knows that it has read the
# stream only after its first read returned, which takes 25 s on an empty one.
begin_orders() {
  curl -fs -m 5 -o /dev/null "$LOG_URL/v1/streams/orders/records" -d '{"records":[{}]}'
}

state_setup() { # extra arguments of the log
  trap 'end_restarted; cluster_stop' EXIT
  start_platform "$@"
  local domain number
  for domain in d1 d2; do
    for number in 1 2 3; do add_sized_engine "$domain-e$number" $domain job-sheet 15 16; done
    for number in 1 2 3; do add_host "$domain-h$number" $domain; done
  done
  add_service office1 d1 office --work-ms 50
  add_service office2 d2 office --work-ms 50
  start_hosts examples/brazos.json
}

# A lost connection is followed by another send, as a real caller does.
state_streams() {
  cat <<'JSON'
[{"name": "draft", "key": "brazos-trucks", "class": "draft", "tier": 0, "model": "job-sheet", "rate": 8, "prefix_pool": 8, "prefix_tokens": 256, "max_tokens": 200, "target_ms": 8000, "first_token_target_ms": 1800, "retries": 4, "loss_resends": 4},
 {"name": "sheet-key", "key": "brazos-office", "class": "sheet", "tier": 2, "model": "job-sheet", "rate": 3, "streamed": false, "max_tokens": 200, "non_idempotent": true, "key_kind": "uuidv7", "resend_share": 0.4, "resend_after_ms": 1500, "retries": 6, "loss_resends": 4},
 {"name": "sheet-token", "key": "brazos-office", "class": "sheet", "tier": 2, "model": "job-sheet", "rate": 3, "max_tokens": 200, "non_idempotent": true, "key_kind": "token", "resend_share": 0.4, "resend_after_ms": 1500, "retries": 6, "loss_resends": 4},
 {"name": "office", "key": "brazos-office", "class": "sheet", "tier": 2, "service": "office", "rate": 4, "non_idempotent": true, "key_kind": "uuidv7", "resend_share": 0.4, "resend_after_ms": 500, "retries": 6, "loss_resends": 4},
 {"name": "pull", "key": "brazos-office", "class": "pull", "tier": 4, "model": "job-sheet", "rate": 3, "max_tokens": 300, "retries": 6, "loss_resends": 4}]
JSON
}

setup() { state_setup; }
streams() { state_streams; }
extra() { state_extra; }
bounds() { state_bounds; }

# The stated targets for all experiments on state.
state_bounds() {
  echo '.duplicate_runs == 0 and .false_not_run == 0 and .incomplete_answers == 0 and .unanswered == 0 and .journals_missing == 0 and .config_regressions == 0 and .config_changes > 0 and .config_lag_s_max <= 3 and .attainment.draft >= 0.95'
}

# Posts a fault to a stand-in.
fault() { # url body
  curl -fs -m 5 -o /dev/null "$1/control/fault" -d "$2"
}

# Publishes a change of a contract about every two seconds of the load.
change_configuration() { # from-second to-second
  local second
  for second in $(seq "$1" 2 "$2"); do
    at "$second" put_change "$second"
  done
}

put_change() { # number
  printf '{"customer":"changes","weight":%d,"limits":{"requests_per_second":1,"tokens_per_second":100,"concurrency":1},"teams":[],"classes":[{"name":"only","tier":1}],"default_class":"only","models":["job-sheet"],"services":[]}\n' \
    "$(($1 + 1))" >"$RUN/change.$1.json"
  ctl contract put "$RUN/change.$1.json" >>"$RUN/ctl.log" 2>&1 || true
}

# Notes that a host cannot be reached, or can again, for the lag of the
# configuration.
mark_down() { echo "$1 down $(date +%s%3N)" >>"$RUN/reach"; }
mark_up() { echo "$1 up $(date +%s%3N)" >>"$RUN/reach"; }

host_url() { # name port
  echo "http://$(address_of "$1" "${HOSTS[@]}"):$2"
}

kill_host() { # name
  mark_down "$1"
  kill -KILL "${PIDS[$1]}"
}

# Starts a host again and waits until it serves. The process belongs to the
# subshell of the faults, so its id is noted for the end of the run.
restart_host() { # name
  start_host "$1"
  echo "$1 ${PIDS[$1]}" >>"$RUN/restarted"
  wait_for "$(host_url "$1" 8080)/readyz"
  mark_up "$1"
}

# Shuts a host down gracefully and starts it again.
cycle_host() { # name
  mark_down "$1"
  kill -TERM "${PIDS[$1]}"
  local i
  for i in $(seq 1500); do
    kill -0 "${PIDS[$1]}" 2>/dev/null || break
    sleep 0.02
  done
  restart_host "$1"
}

freeze_host() { # name
  mark_down "$1"
  kill -STOP "${PIDS[$1]}"
}

thaw_host() { # name
  kill -CONT "${PIDS[$1]}"
  mark_up "$1"
}

# Ends hosts that were started again within the faults.
end_restarted() {
  [ -f "$RUN/restarted" ] || return 0
  local name pid
  while read -r name pid; do kill -TERM "$pid" 2>/dev/null || true; done <"$RUN/restarted"
}

# Prints config_changes, config_lag_s_max and config_regressions. The time of a
# change is that of its record on the log; a host counts from the time at which
# it could be reached. A change that never came into force counts as 999 s.
state_extra() {
  touch "$RUN/reach"
  curl -fs -m 10 "$LOG_URL/v1/streams/config/records?from=1&limit=10000" >"$RUN/config.json"
  local entry logs=()
  for entry in "${HOSTS[@]}"; do logs+=("$RUN/${entry%%=*}.log"); done
  grep -h -e '"event":"in_force"' -e '"event":"config_record"' "${logs[@]}" >"$RUN/config-lines.json"
  end_restarted
  jq -R 'split(" ") | {host: .[0], state: .[1], at: (.[2] | tonumber)}' "$RUN/reach" | jq -s . >"$RUN/reach.json"
  jq -n -c --slurpfile log "$RUN/config.json" --slurpfile lines "$RUN/config-lines.json" \
    --slurpfile reach "$RUN/reach.json" --argjson begin "$load_started" -f scripts/lib/config_lag.jq
}
