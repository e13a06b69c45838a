. scripts/experiments/straggler.sh
description="one request crashes each upstream that runs it and is sent again to every host"
default_seconds=26

setup() {
  start_platform
  local domain number
  for domain in d1 d2; do
    for number in 1 2 3; do
      add_sized_engine "$domain-e$number" $domain job-sheet 15 16 --crash-on poison-marker
    done
    for number in 1 2 3; do add_host "$domain-h$number" $domain; done
  done
  add_service office1 d1 office
  start_hosts examples/brazos.json
}

# Sends the same body to each host in turn, 0.5 s after the last answer.
faults() {
  local entry end
  at 4 true
  end=$(($(date +%s) + 20))
  while [ "$(date +%s)" -lt "$end" ]; do
    for entry in "${HOSTS[@]}"; do
      curl -s -m 8 -o /dev/null -w '%{http_code}\n' \
        "http://$(echo "$entry" | cut -d= -f2):8080/v1/chat/completions" \
        -H 'Authorization: Bearer brazos-office' -H 'X-Teaselhill-Class: pull' \
        -d '{"model":"job-sheet","max_tokens":50,"messages":[{"role":"user","content":"poison-marker"}]}' \
        >>"$RUN/poison" || true
      sleep 0.5
    done
  done
}

extra() {
  local entry crashes=0
  for entry in "${ENGINES[@]}"; do
    kill -0 "${PIDS[${entry%%=*}]}" 2>/dev/null || crashes=$((crashes + 1))
  done
  echo "{\"crashes\": $crashes, \"poison_sent\": $(wc -l <"$RUN/poison"), \"poison_answers\": $(sort "$RUN/poison" | uniq -c | awk '{printf "%s\"%s\":%d", (NR > 1 ? "," : "{"), $2, $1} END {print "}"}')}"
}

# A non-idempotent request on a crashed upstream may end as unknown.
bounds() {
  echo '.crashes >= 1 and .crashes <= 2 and ([.classes[].not_run] | add) == 0 and ([.classes.draft, .classes.pull | .cut_short + .unknown] | add) == 0 and .duplicate_runs == 0 and .incomplete_answers == 0 and .unanswered == 0 and .false_not_run == 0'
}
