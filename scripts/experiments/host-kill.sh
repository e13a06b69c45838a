description="an entry host is killed and starts again under its name"
default_seconds=30

. scripts/lib/state.sh

faults() {
  change_configuration 2 28 &
  local changes=$!
  at 8 kill_host d1-h1
  at 14 restart_host d1-h1
  at 18 kill_host d2-h2
  at 20 restart_host d2-h2
  wait "$changes"
}
