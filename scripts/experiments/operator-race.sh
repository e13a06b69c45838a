description="20 clients race on 5 contracts while the log loses answers"
default_seconds=45

. scripts/lib/state.sh

# One client of the race: puts a contract with the given base revision. Clients
# of one round and contract name the same base, so exactly one may win.
race_client() { # round client contract base
  local run="$RUN/race.$1.$2" status=0
  printf '{"customer":"race%d","weight":%d,"limits":{"requests_per_second":1,"tokens_per_second":100,"concurrency":1},"teams":[],"classes":[{"name":"only","tier":1}],"default_class":"only","models":["job-sheet"],"services":[]}\n' \
    "$3" "$(($2 + 1))" >"$run.json"
  AUTHOR="race-$1-$2" ctl --json contract put "$run.json" --base "$4" >"$run.out" 2>"$run.err" || status=$?
  echo "$status" >"$run.status"
}

# The current revision of a contract, from the hosts' log lines.
revision_of() { # contract
  grep -h '"event":"config_record"' "$RUN"/d?-h?.log |
    jq -s --arg object "race$1" '[.[] | select(.verdict == "accepted" and (.object | tostring | contains($object))) | .offset] | max'
}

race_round() { # round
  local client contract base
  local -a pids=()
  for client in $(seq 20); do
    contract=$((client % 5))
    base=none
    if [ "$1" -gt 1 ]; then base=$(cat "$RUN/race.base.$contract"); fi
    race_client "$1" "$client" "$contract" "$base" &
    pids+=($!)
  done
  wait "${pids[@]}"
  # The last records must have reached all hosts before their logs are read.
  sleep 1
  for contract in 0 1 2 3 4; do revision_of "$contract" >"$RUN/race.base.$contract"; done
}

faults() {
  at 2 fault "$LOG_URL" '{"kind":"lose_answer","probability":0.2}'
  race_round 1
  race_round 2
  echo "races ended at $((($(date +%s%3N) - load_started) / 1000)) s" >&2
  fault "$LOG_URL" '{"kind":"clear"}'
}

extra() {
  local state
  state=$(state_extra)
  grep -h '"event":"config_record"' "$RUN"/d?-h?.log >"$RUN/verdicts.json"
  cat "$RUN"/race.*.out >"$RUN/clients.json"
  jq -n -c --argjson state "$state" --slurpfile hosts "$RUN/verdicts.json" --slurpfile clients "$RUN/clients.json" \
    --argjson sent "$(ls "$RUN"/race.*.status | wc -l)" --argjson rounds 2 '
    ($hosts | group_by(.offset)) as $by_offset
    | ($hosts | map(select((.author // "") | startswith("race-")))) as $race
    | ($race | map(select(.verdict == "accepted")) | unique_by(.offset)
        | group_by([.object, (.author | split("-")[1])]) | map(length)) as $winners
    | ($race | unique_by(.offset) | sort_by(.offset) | group_by(.change_id) | map({key: .[0].change_id, value: .[0]}) | from_entries) as $first
    | $state + {race_clients: $sent,
        race_clients_without_verdict: ($sent - ($clients | length)),
        race_bases_with_one_winner: ($winners | map(select(. == 1)) | length),
        race_bases_with_more_winners: ($winners | map(select(. > 1)) | length),
        race_bases: ($rounds * 5),
        race_host_disagreements: ($by_offset | map(select((map([.verdict, .change_id]) | unique | length) > 1)) | length),
        race_client_disagreements: ($clients | map(select($first[.change_id].verdict != .verdict or $first[.change_id].offset != .offset)) | length)}'
}

bounds() {
  echo "$(state_bounds) and .race_bases_with_one_winner == .race_bases and .race_bases_with_more_winners == 0 and .race_host_disagreements == 0 and .race_client_disagreements == 0 and .race_clients_without_verdict == 0"
}
