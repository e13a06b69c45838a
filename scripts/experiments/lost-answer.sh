description="the log and the services lose answers after the action took effect"
default_seconds=30

. scripts/lib/state.sh

faults() {
  change_configuration 2 28 &
  local changes=$!
  local entry
  at 4 fault "$LOG_URL" '{"kind":"lose_answer","probability":0.2,"for_ms":18000}'
  for entry in "${SERVICES[@]}"; do
    fault "http://$(echo "$entry" | cut -d= -f2):9000" '{"kind":"lose_answer","probability":0.2,"for_ms":18000}'
  done
  wait "$changes"
}
