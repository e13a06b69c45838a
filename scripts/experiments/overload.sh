. scripts/experiments/steady.sh
description="1.5 of capacity, lower classes in excess"
default_seconds=24

# Draft has 0.4 of capacity, sheet 0.3 and pull 0.8.
streams() {
  cat <<'JSON'
[{"name": "draft", "key": "brazos-trucks", "class": "draft", "tier": 0, "model": "job-sheet", "rate": 37, "prefix_pool": 8, "prefix_tokens": 256, "max_tokens": 200, "target_ms": 8000, "first_token_target_ms": 1800},
 {"name": "sheet", "key": "brazos-office", "class": "sheet", "tier": 2, "model": "job-sheet", "rate": 26, "streamed": false, "max_tokens": 300, "target_ms": 20000, "non_idempotent": true},
 {"name": "pull", "key": "brazos-office", "class": "pull", "tier": 4, "model": "job-sheet", "rate": 66, "max_tokens": 400, "target_ms": 40000}]
JSON
}

# The first seconds fill the engines.
extra() {
  echo "{\"full_load_goodput_ratio\": $(awk "BEGIN{print $(goodput_between 4 "$seconds") / $capacity}")}"
}

bounds() {
  echo '.attainment.draft >= 0.99 and .longest_gap_s.pull <= 10 and .full_load_goodput_ratio >= 0.95 and .wasted_ratio <= 0.03 and .duplicate_runs == 0 and .incomplete_answers == 0 and .unanswered == 0 and .false_not_run == 0'
}
