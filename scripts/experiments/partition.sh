description="a failure domain is cut off from the platform and the other hosts, then healed"
default_seconds=40

. scripts/lib/state.sh

block_peers() { # host names JSON list...
  local list=$1 host
  shift
  for host in "$@"; do
    curl -fs -m 5 -o /dev/null -X PUT -H "Authorization: Bearer $OPERATOR_KEY" \
      "$(host_url "$host" 8082)/admin/v1/blocked-peers" -d "$list"
  done
}

cut_off() {
  local host addresses=""
  for host in d2-h1 d2-h2 d2-h3; do
    mark_down $host
    addresses="$addresses,\"$(address_of $host "${HOSTS[@]}")\""
  done
  for url in "$LOG_URL" "$HOST_LIST_URL" "$WEIGHTS_URL"; do
    fault "$url" "{\"kind\":\"cut_off\",\"addresses\":[${addresses#,}]}"
  done
  block_peers '["d1-h1","d1-h2","d1-h3"]' d2-h1 d2-h2 d2-h3
  block_peers '["d2-h1","d2-h2","d2-h3"]' d1-h1 d1-h2 d1-h3
}

heal() {
  local host
  for url in "$LOG_URL" "$HOST_LIST_URL" "$WEIGHTS_URL"; do fault "$url" '{"kind":"clear"}'; done
  block_peers '[]' d1-h1 d1-h2 d1-h3 d2-h1 d2-h2 d2-h3
  for host in d2-h1 d2-h2 d2-h3; do mark_up $host; done
}

faults() {
  change_configuration 2 38 &
  local changes=$!
  at 6 cut_off
  at 24 heal
  wait "$changes"
}
