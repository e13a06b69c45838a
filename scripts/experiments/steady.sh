description="0.7 of capacity, nothing fails"
default_seconds=30

setup() {
  start_platform
  local domain number
  for domain in d1 d2; do
    for number in 1 2 3; do add_sized_engine "$domain-e$number" $domain job-sheet 15 16; done
    for number in 1 2 3; do add_host "$domain-h$number" $domain; done
  done
  add_service office1 d1 office
  start_hosts examples/brazos.json
}

# Answers of at most 200, 300 and 400 tokens have 48, 51 and 54 on average;
# capacity is about 4,400 tokens/s.
streams() {
  cat <<'JSON'
[{"name": "draft", "key": "brazos-trucks", "class": "draft", "tier": 0, "model": "job-sheet", "rate": 22, "prefix_pool": 8, "prefix_tokens": 256, "max_tokens": 200, "target_ms": 8000, "first_token_target_ms": 1800},
 {"name": "sheet", "key": "brazos-office", "class": "sheet", "tier": 2, "model": "job-sheet", "rate": 11, "streamed": false, "max_tokens": 300, "target_ms": 20000, "non_idempotent": true},
 {"name": "pull", "key": "brazos-office", "class": "pull", "tier": 4, "model": "job-sheet", "rate": 27, "max_tokens": 400, "target_ms": 40000}]
JSON
}

bounds() {
  echo '([.attainment[]] | min) >= 0.99 and .wasted_ratio <= 0.01 and .duplicate_runs == 0 and .incomplete_answers == 0 and .unanswered == 0 and .false_not_run == 0'
}
