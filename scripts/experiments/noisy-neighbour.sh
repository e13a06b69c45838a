. scripts/experiments/steady.sh
description="one customer at 10 times its contract beside 0.6 of capacity"
default_seconds=24

# The noisy customer may send 8 requests/s, 0.1 of capacity, and sends 80 in the
# most and the least urgent tier.
setup() {
  start_platform
  local domain number
  for domain in d1 d2; do
    for number in 1 2 3; do add_sized_engine "$domain-e$number" $domain job-sheet 15 16; done
    for number in 1 2 3; do add_host "$domain-h$number" $domain; done
  done
  add_service office1 d1 office
  cat >"$RUN/noisy.contract" <<JSON
{"customer": "noisy", "limits": {"requests_per_second": 8},
 "teams": [{"name": "all", "key_hashes": ["$(printf %s noisy-key | sha256sum | cut -d' ' -f1)"]}],
 "classes": [{"name": "noisy-urgent", "tier": 0, "default_deadline": "20s"},
             {"name": "noisy-batch", "tier": 4, "default_deadline": "60s"}],
 "default_class": "noisy-batch", "models": ["job-sheet"]}
JSON
  start_hosts examples/brazos.json "$RUN/noisy.contract"
}

streams() {
  cat <<'JSON'
[{"name": "draft", "key": "brazos-trucks", "class": "draft", "tier": 0, "model": "job-sheet", "rate": 19, "prefix_pool": 8, "prefix_tokens": 256, "max_tokens": 200, "target_ms": 8000, "first_token_target_ms": 1800},
 {"name": "sheet", "key": "brazos-office", "class": "sheet", "tier": 2, "model": "job-sheet", "rate": 9, "streamed": false, "max_tokens": 300, "target_ms": 20000, "non_idempotent": true},
 {"name": "pull", "key": "brazos-office", "class": "pull", "tier": 4, "model": "job-sheet", "rate": 23, "max_tokens": 400, "target_ms": 40000},
 {"name": "noisy-urgent", "key": "noisy-key", "class": "noisy-urgent", "tier": 0, "model": "job-sheet", "rate": 40, "max_tokens": 400, "target_ms": 20000},
 {"name": "noisy-batch", "key": "noisy-key", "class": "noisy-batch", "tier": 4, "model": "job-sheet", "rate": 40, "max_tokens": 400, "target_ms": 60000}]
JSON
}

# `steady` attains at most 1, so 0.99 is the strictest reading of 1 point below.
bounds() {
  echo '([.attainment.draft, .attainment.sheet, .attainment.pull] | min) >= 0.99 and .duplicate_runs == 0 and .incomplete_answers == 0 and .unanswered == 0 and .false_not_run == 0'
}
