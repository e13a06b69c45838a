description="the log is down for 30 s, then slow"
default_seconds=45

. scripts/lib/state.sh

faults() {
  change_configuration 1 44 &
  local changes=$!
  at 4 fault "$LOG_URL" '{"kind":"refuse","for_ms":30000}'
  # 300 ms for each request to the log.
  at 34 fault "$LOG_URL" '{"kind":"slow","factor":300}'
  wait "$changes"
}
