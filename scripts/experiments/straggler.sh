. scripts/experiments/steady.sh
description="one engine 5 times slower, another crashes mid-answer"
default_seconds=24

# 0.5 of capacity: 0.7 of what is left after the faults.
streams() {
  cat <<'JSON'
[{"name": "draft", "key": "brazos-trucks", "class": "draft", "tier": 0, "model": "job-sheet", "rate": 16, "prefix_pool": 8, "prefix_tokens": 256, "max_tokens": 200, "target_ms": 8000, "first_token_target_ms": 1800},
 {"name": "sheet", "key": "brazos-office", "class": "sheet", "tier": 2, "model": "job-sheet", "rate": 8, "streamed": false, "max_tokens": 300, "target_ms": 20000, "non_idempotent": true},
 {"name": "pull", "key": "brazos-office", "class": "pull", "tier": 4, "model": "job-sheet", "rate": 19, "max_tokens": 400, "target_ms": 40000}]
JSON
}

faults() {
  at 5 inject d1-e1 '{"kind": "slow", "factor": 5}'
  at 12 inject d2-e1 '{"kind": "crash"}'
}

extra() {
  echo "{\"crashed_tokens\": $(broken_stream_tokens d2-e1)}"
}

# The journal of the crashed engine lacks the tokens of the streams that broke.
bounds() {
  echo '.attainment.draft >= 0.98 and (.engine_tokens + .crashed_tokens - .goodput_tokens) / (.engine_tokens + .crashed_tokens) <= 0.02 and ([.classes.draft, .classes.pull | .cut_short] | add) == 0 and .duplicate_runs == 0 and .incomplete_answers == 0 and .unanswered == 0 and .false_not_run == 0'
}
