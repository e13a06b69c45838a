. scripts/experiments/steady.sh
description="one limit on 6 hosts; demand moves to one, then hosts are killed"
default_seconds=30
limit=150

setup() {
  start_platform
  local domain number
  for domain in d1 d2; do
    for number in 1 2 3; do add_sized_engine "$domain-e$number" $domain job-sheet 10 32; done
    for number in 1 2 3; do add_host "$domain-h$number" $domain; done
  done
  cat >"$RUN/limited.contract" <<JSON
{"customer": "limited", "limits": {"requests_per_second": $limit},
 "teams": [{"name": "all", "key_hashes": ["$(printf %s limited-key | sha256sum | cut -d' ' -f1)"]}],
 "classes": [{"name": "short", "tier": 0, "default_deadline": "20s"}],
 "default_class": "short", "models": ["job-sheet"]}
JSON
  start_hosts "$RUN/limited.contract"
}

# Twice the limit. From 10 s on it goes to the first host only.
router_phases='[{"from_s": 10, "to_s": 1000, "routers": [0]}]'

streams() {
  echo '[{"name": "short", "key": "limited-key", "class": "short", "tier": 0, "model": "job-sheet", "rate": 300, "max_tokens": 8, "target_ms": 20000}]'
}

# The host list drops the killed hosts after 1 s, as the platform does.
faults() {
  at 20 kill -KILL "${PIDS[d1-h3]}" "${PIDS[d2-h3]}"
  HOSTS=("${HOSTS[@]:0:2}" "${HOSTS[@]:3:2}")
  at 21 publish_host_list
}

extra() {
  cat <<JSON
{"limit": $limit, "most_5s": $(most_admitted 0 5), "before": $(admitted_between 5 10),
 "moved": $(admitted_between 13 20), "moved_first_3s": $(admitted_between 10 13),
 "killed": $(admitted_between 23 30), "killed_first_3s": $(admitted_between 20 23)}
JSON
}

bounds() {
  echo '.most_5s <= 1.05 * .limit and ([.before, .moved, .killed] | min) >= 0.9 * .limit and .incomplete_answers == 0 and .unanswered == 0 and .false_not_run == 0'
}
