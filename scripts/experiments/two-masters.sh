description="two holders of the order lease both believe they are in charge; engines ignore fencing"
default_seconds=52

. scripts/lib/state.sh

# The balancer leaves a host out 2 s after it stopped answering. Which host holds
# the lease is not known beforehand, so the third one gives no orders and takes all
# callers meanwhile.
router_phases='[{"from_s":22,"to_s":39.5,"routers":[2]}]'
eval "$(declare -f start_host | sed '1s/start_host/start_any_host/')"
start_host() { # name
  if [ "$1" = d1-h3 ]; then
    TEASELHILL_GIVE_ORDERS=false start_any_host "$1"
  else
    start_any_host "$1"
  fi
}

# One failure domain, so one lease. Each engine is bound to a model; the lease
# holder carries out changes of that assignment.
setup() {
  trap 'end_restarted; cluster_stop' EXIT
  start_platform
  begin_orders
  local number model
  for number in 1 2 3; do add_host "d1-h$number" d1; done
  for number in 1 2 3 4 5 6; do
    model=job-sheet
    if [ "$number" -gt 3 ]; then model=clause; fi
    add_sized_engine "d1-e$number" d1 $model 15 16 --checks-fencing false \
      --weights-url "$WEIGHTS_URL" --load-ms 1000
  done
  sed 's/"models": \["job-sheet"\]/"models": ["job-sheet", "clause"]/' examples/brazos.json >"$RUN/contract.json"
  add_service office1 d1 office --work-ms 50
  start_hosts "$RUN/contract.json"
}

streams() {
  cat <<'JSON'
[{"name": "draft", "key": "brazos-trucks", "class": "draft", "tier": 0, "model": "job-sheet", "rate": 5, "max_tokens": 100, "target_ms": 8000, "first_token_target_ms": 1800, "retries": 4, "loss_resends": 4},
 {"name": "sheet-key", "key": "brazos-office", "class": "sheet", "tier": 2, "model": "clause", "rate": 2, "streamed": false, "max_tokens": 100, "non_idempotent": true, "resend_share": 0.4, "retries": 6, "loss_resends": 4},
 {"name": "pull", "key": "brazos-office", "class": "pull", "tier": 4, "model": "clause", "rate": 3, "max_tokens": 200, "retries": 6, "loss_resends": 4}]
JSON
}

# Moves an engine to a model by its assignment.
assign_engine() { # name model
  printf '{"name":"%s","url":"http://%s:9000","domain":"d1","kind":"engine","models":["%s"]}\n' \
    "$1" "$(address_of "$1" "${ENGINES[@]}")" "$2" >"$RUN/assign.json"
  ctl upstream assign "$RUN/assign.json" >>"$RUN/ctl.log" 2>&1
}

lease_holder() {
  local entry
  for entry in "${HOSTS[@]}"; do
    if grep '"event":"order_lease"' "$RUN/${entry%%=*}.log" | tail -1 | grep -q '"held":true'; then
      echo "${entry%%=*}"
      return
    fi
  done
}

# Writes the models of all engines once a second.
watch_engines() { # seconds
  local second entry
  for second in $(seq "$1"); do
    at "$second" : 2>/dev/null
    for entry in "${ENGINES[@]}"; do
      curl -fs -m 1 "http://$(echo "$entry" | cut -d= -f2):9000/v1/state" |
        jq -c --arg engine "${entry%%=*}" --argjson second "$second" '{second: $second, engine: $engine, models}' >>"$RUN/states.json" || true
    done
  done
}

# The holder is stopped after its first orders, long enough for another host to
# take the lease (at most 17 s), and wakes up while that one gives orders.
faults() {
  change_configuration 2 50 &
  local changes=$!
  watch_engines 50 &
  local watch=$!
  local holder
  at 13 assign_engine d1-e3 clause
  at 20 :
  holder=$(lease_holder)
  echo "lease holder: ${holder:-none}" >&2
  if [ -n "$holder" ]; then
    freeze_host "$holder"
    at 37.5 assign_engine d1-e6 job-sheet
    at 39 thaw_host "$holder"
  fi
  wait "$changes" "$watch"
}

extra() {
  local state
  state=$(state_extra)
  grep -h -e '"event":"order"' -e '"event":"order_lease"' -e '"event":"order_answer"' "$RUN"/d1-h?.log >"$RUN/orders.json" || true
  # The engines list their models as objects.
  jq -n -c --argjson state "$state" --slurpfile lines "$RUN/orders.json" --slurpfile raw "$RUN/states.json" '
    ($raw | map(.models |= map(if type == "object" then .name else . end))) as $states
    | ($lines | map(select(.event == "order" and .fencing != null)) | sort_by(.time_ms)) as $orders
    | ($states | group_by(.engine) | map({key: .[0].engine, value: (sort_by(.second) | .[-1].models | sort)}) | from_entries) as $last
    | ($states | group_by(.engine) | map({key: .[0].engine, value: (sort_by(.second) | .[0].models)}) | from_entries) as $first
    | (reduce $orders[] as $o ($first;
        .[$o.engine] |= (if $o.kind == "load_model" then (. + [$o.model] | unique) else . - [$o.model] end))
        | map_values(sort)) as $asked
    | $state + {orders: ($orders | length),
        order_givers: ($orders | map(.process) | unique | length),
        lease_holders: ($lines | map(select(.event == "order_lease" and .held) | .process) | unique | length),
        orders_refused_locally: ($lines | map(select(.event == "order" and .refused != null)) | length),
        orders_out_of_turn: ([range(1; $orders | length) | select($orders[.].fencing < $orders[. - 1].fencing)] | length),
        engines_not_as_ordered: ([$last | to_entries[] | select(.value != ($asked[.key] // []))] | length),
        needless_loads: ([$orders | group_by(.engine)[] | [.[] | select(.kind == "load_model")] | group_by(.model)[] | length - 1] | add // 0),
        replicas_min: ([$states | group_by(.second)[] | (map(.models[]) | group_by(.) | map(length)) | if length < 2 then 0 else min end] | min)}'
}

bounds() {
  echo "$(state_bounds) and .orders > 0 and .lease_holders >= 2 and .orders_out_of_turn == 0 and .engines_not_as_ordered == 0 and .needless_loads == 0 and .replicas_min >= 2"
}
