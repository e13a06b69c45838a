. scripts/experiments/steady.sh
description="3 times capacity for 15 s, callers retry"
default_seconds=34
drain_seconds=16

# 0.7 of capacity outside the burst, 3 times capacity in it. The deadlines bound
# the time that the backlog takes after the load.
streams() {
  cat <<'JSON'
[{"name": "draft", "key": "brazos-trucks", "class": "draft", "tier": 0, "model": "job-sheet", "rate": 22, "phases": [{"from_s": 8, "to_s": 23, "factor": 4.286}], "retries": 3, "deadline_ms": 8000, "prefix_pool": 8, "prefix_tokens": 256, "max_tokens": 200, "target_ms": 8000, "first_token_target_ms": 1800},
 {"name": "sheet", "key": "brazos-office", "class": "sheet", "tier": 2, "model": "job-sheet", "rate": 11, "phases": [{"from_s": 8, "to_s": 23, "factor": 4.286}], "retries": 3, "deadline_ms": 12000, "streamed": false, "max_tokens": 300, "target_ms": 20000, "non_idempotent": true},
 {"name": "pull", "key": "brazos-office", "class": "pull", "tier": 4, "model": "job-sheet", "rate": 27, "phases": [{"from_s": 8, "to_s": 23, "factor": 4.286}], "retries": 3, "deadline_ms": 14000, "max_tokens": 400, "target_ms": 40000}]
JSON
}

extra() {
  local before after
  before=$(goodput_between 2 8)
  after=$(goodput_between 28 34)
  echo "{\"goodput_before\": $before, \"goodput_in_burst\": $(goodput_between 10 23), \"goodput_after\": $after, \"recovered_ratio\": $(awk "BEGIN{print $after / $before}")}"
}

bounds() {
  echo '.recovered_ratio >= 0.95 and .duplicate_runs == 0 and .incomplete_answers == 0 and .unanswered == 0 and .false_not_run == 0'
}
