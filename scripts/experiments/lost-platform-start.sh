description="a host starts while the platform is down and takes the configuration from other hosts"
default_seconds=35

. scripts/lib/state.sh

platform_down() {
  local url
  for url in "$LOG_URL" "$HOST_LIST_URL" "$WEIGHTS_URL"; do fault "$url" '{"kind":"refuse","for_ms":18000}'; done
}

faults() {
  change_configuration 2 34 &
  local changes=$!
  at 5 platform_down
  at 8 kill_host d1-h1
  at 9 restart_host d1-h1
  at 13 kill_host d2-h1
  at 14 restart_host d2-h1
  wait "$changes"
}
