description="hosts are stopped for 10 s after a claim, before a send and while holding the order lease"
default_seconds=45

. scripts/lib/state.sh

# The balancer leaves a host out 2 s to 3 s after it stopped answering. Fixed
# phases of the plan would not do: which host holds the lease, and is frozen last,
# is known only during the run.
health_checks='{"path":"/readyz","period_s":1,"misses":2}'

setup() {
  state_setup
  begin_orders
}

# Stops a host at the moment when it has claims on their way to the log: the log
# is slow for a moment, so that claims are open and no send has been made.
freeze_with_open_claims() { # host
  fault "$LOG_URL" '{"kind":"slow","factor":400,"for_ms":900}'
  sleep 0.6
  freeze_host "$1"
}

lease_holder() {
  local entry
  for entry in "${HOSTS[@]}"; do
    if grep '"event":"order_lease"' "$RUN/${entry%%=*}.log" | tail -1 | grep -q '"held":true'; then
      echo "${entry%%=*}"
      return
    fi
  done
}

faults() {
  change_configuration 2 44 &
  local changes=$!
  at 6 freeze_with_open_claims d1-h1
  at 16 thaw_host d1-h1
  at 18 freeze_host d2-h2
  at 28 thaw_host d2-h2
  local holder
  at 31 :
  holder=$(lease_holder)
  echo "lease holder: ${holder:-none}" >&2
  if [ -n "$holder" ]; then
    freeze_host "$holder"
    at 41 thaw_host "$holder"
  fi
  wait "$changes"
}
