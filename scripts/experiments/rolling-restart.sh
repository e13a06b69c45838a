description="every host in turn is shut down gracefully and starts again"
default_seconds=40

. scripts/lib/state.sh

faults() {
  change_configuration 2 38 &
  local changes=$!
  local host
  at 3 :
  for host in d1-h1 d2-h1 d1-h2 d2-h2 d1-h3 d2-h3; do
    cycle_host $host
    sleep 1
  done
  echo "all hosts restarted at $((($(date +%s%3N) - load_started) / 1000)) s" >&2
  wait "$changes"
}
