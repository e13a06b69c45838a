# Starts stand-ins and hosts as separate processes for the demo and the
# experiments. Sourced by bash scripts; `set -eu` is expected.
#
# Each simulated host has a loopback address of its own. The second and third
# number of the addresses are drawn at random, so that two runs at the same time
# do not meet.

cluster_init() { # build directory
  BIN=$(cd "$1" && pwd)/bin
  RUN=$(mktemp -d)
  NET="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
  LOG_URL="http://$NET.1:7000"
  HOST_LIST_URL="http://$NET.2:7000"
  WEIGHTS_URL="http://$NET.3:7000"
  PEER_SECRET="cluster-secret-$RANDOM$RANDOM"
  OPERATOR_KEY="operator-$RANDOM$RANDOM"
  OPERATOR_HASH=$(printf %s "$OPERATOR_KEY" | sha256sum | cut -d' ' -f1)
  HOSTS=()        # name=address=domain
  ENGINES=()      # name=address=domain=model
  SERVICES=()     # name=address=domain=service
  declare -gA PIDS=()
  trap cluster_stop EXIT
}

# Starts a program in the background under a name; its output goes to files.
start() { # name program arguments...
  local name=$1
  shift
  # Appended to: a host that comes back under its name keeps its earlier lines.
  "$BIN/$@" >>"$RUN/$name.log" 2>>"$RUN/$name.err" &
  PIDS[$name]=$!
  # A fault function runs in a subshell, whose PIDS are lost with it.
  echo "${PIDS[$name]}" >>"$RUN/pids"
}

# Waits until a URL answers with success, at most 10 s.
wait_for() { # url
  local i
  for i in $(seq 500); do
    if curl -fs -m 1 -o /dev/null "$1"; then return 0; fi
    sleep 0.02
  done
  echo "no answer from $1" >&2
  return 1
}

start_platform() { # extra arguments of the log
  start log teaselhill-log --name log --address "$NET.1" --port 7000 "$@"
  start hostlist teaselhill-hostlist --name hostlist --address "$NET.2" --port 7000
  start weights teaselhill-weights --name weights --address "$NET.3" --port 7000
  wait_for "$LOG_URL/v1/streams/config/records"
  wait_for "$HOST_LIST_URL/v1/hosts"
}

add_engine() { # name domain model arguments...
  local name=$1 domain=$2 model=$3
  shift 3
  local address="$NET.$((100 + ${#ENGINES[@]}))"
  ENGINES+=("$name=$address=$domain=$model")
  start "$name" teaselhill-engine --name "$name" --address "$address" --port 9000 \
    --models "$model" --journal-file "$RUN/$name.journal" "$@"
}

add_service() { # name domain service arguments...
  local name=$1 domain=$2 service=$3
  shift 3
  local address="$NET.$((200 + ${#SERVICES[@]}))"
  SERVICES+=("$name=$address=$domain=$service")
  start "$name" teaselhill-service --name "$name" --address "$address" --port 9000 \
    --journal-file "$RUN/$name.journal" "$@"
}

add_host() { # name domain
  HOSTS+=("$1=$NET.$((11 + ${#HOSTS[@]}))=$2")
}

address_of() { # name list...
  local name=$1 entry
  shift
  for entry in "$@"; do
    if [ "${entry%%=*}" = "$name" ]; then
      echo "$entry" | cut -d= -f2
      return
    fi
  done
}

# Starts the router on a host that was added. HOST_ARGUMENTS are passed on.
start_host() { # name
  local entry address domain
  for entry in "${HOSTS[@]}"; do
    if [ "${entry%%=*}" = "$1" ]; then break; fi
  done
  address=$(echo "$entry" | cut -d= -f2)
  domain=$(echo "$entry" | cut -d= -f3)
  # shellcheck disable=SC2086
  start "$1" teaselhilld --host "$1" --domain "$domain" --address "$address" \
    --log-url "$LOG_URL" --host-list-url "$HOST_LIST_URL" \
    --weight-store-url "$WEIGHTS_URL" --peer-secret "$PEER_SECRET" \
    --operator-key-hashes "$OPERATOR_HASH" --peers "$(peer_list)" \
    ${HOST_ARGUMENTS:-}
}

peer_list() {
  local joined="" entry
  for entry in "${HOSTS[@]}"; do joined="$joined,$entry"; done
  echo "${joined#,}"
}

# Publishes all hosts and upstreams on the host list; names in $1 are leaving.
publish_host_list() { # space-separated leaving names
  local leaving=" ${1:-} " hosts="" upstreams="" entry name address domain state kind
  for entry in "${HOSTS[@]}"; do
    IFS='=' read -r name address domain <<<"$entry"
    state=live
    case "$leaving" in *" $name "*) state=leaving ;; esac
    hosts="$hosts,{\"name\":\"$name\",\"address\":\"$address\",\"domain\":\"$domain\",\"region\":\"r1\",\"state\":\"$state\"}"
  done
  for entry in "${ENGINES[@]}" "${SERVICES[@]}"; do
    IFS='=' read -r name address domain _ <<<"$entry"
    state=live
    kind=engine
    case " ${SERVICES[*]} " in *" $name="*) kind=service ;; esac
    case "$leaving" in *" $name "*) state=leaving ;; esac
    upstreams="$upstreams,{\"name\":\"$name\",\"url\":\"http://$address:9000\",\"domain\":\"$domain\",\"kind\":\"$kind\",\"state\":\"$state\"}"
  done
  curl -fs -m 5 -X PUT "$HOST_LIST_URL/control/hosts" -o /dev/null \
    -d "{\"hosts\":[${hosts#,}],\"upstreams\":[${upstreams#,}]}"
}

ctl() {
  local arguments=() entry
  for entry in "${HOSTS[@]}"; do
    arguments+=(--host "http://$(echo "$entry" | cut -d= -f2):8082")
  done
  TEASELHILL_AUTHOR=${AUTHOR:-cluster} TEASELHILL_OPERATOR_KEY=$OPERATOR_KEY "$BIN/teaselhillctl" --log "$LOG_URL" "${arguments[@]}" "$@"
}

# Publishes assignments of all upstreams and the contracts in the named files.
publish_configuration() { # contract files...
  local entry name address domain what file
  for entry in "${ENGINES[@]}"; do
    IFS='=' read -r name address domain what <<<"$entry"
    printf '{"name":"%s","url":"http://%s:9000","domain":"%s","kind":"engine","models":["%s"]}\n' \
      "$name" "$address" "$domain" "$what" >"$RUN/$name.json"
    ctl upstream assign "$RUN/$name.json" >>"$RUN/ctl.log"
  done
  for entry in "${SERVICES[@]}"; do
    IFS='=' read -r name address domain what <<<"$entry"
    printf '{"name":"%s","url":"http://%s:9000","domain":"%s","kind":"service","service":"%s"}\n' \
      "$name" "$address" "$domain" "$what" >"$RUN/$name.json"
    ctl upstream assign "$RUN/$name.json" >>"$RUN/ctl.log"
  done
  for file in "$@"; do ctl contract put "$file" >>"$RUN/ctl.log"; done
}

wait_ready() {
  local entry
  for entry in "${HOSTS[@]}"; do
    wait_for "http://$(echo "$entry" | cut -d= -f2):8080/readyz"
  done
}

router_urls() { # JSON list of the hosts' URLs for callers
  local urls="" entry
  for entry in "${HOSTS[@]}"; do
    urls="$urls,\"http://$(echo "$entry" | cut -d= -f2):8080\""
  done
  echo "[${urls#,}]"
}

journal_files() { # JSON list
  local files="" entry
  for entry in "${ENGINES[@]}" "${SERVICES[@]}"; do
    files="$files,\"$RUN/${entry%%=*}.journal\""
  done
  echo "[${files#,}]"
}

# Ends all stand-ins, so that their journal files hold all tokens.
stop_upstreams() {
  local entry
  for entry in "${ENGINES[@]}" "${SERVICES[@]}"; do
    kill -TERM "${PIDS[${entry%%=*}]}" 2>/dev/null || true
  done
}

cluster_stop() {
  local signal pid
  for signal in CONT TERM KILL; do
    for pid in $(cat "$RUN/pids" 2>/dev/null); do
      # A number may have been given to another program meanwhile.
      if readlink "/proc/$pid/exe" 2>/dev/null | grep -q "^$BIN/"; then
        kill -$signal "$pid" 2>/dev/null || true
      fi
    done
    if [ $signal = TERM ]; then sleep 0.3; fi
  done
  wait 2>/dev/null || true
  if [ "${KEEP:-0}" = 1 ]; then echo "files are in $RUN" >&2; else rm -rf "$RUN"; fi
}

# Adds an engine of known speed and counts its capacity in tokens/s.
add_sized_engine() { # name domain model token-ms max-batch arguments...
  local name=$1 domain=$2 model=$3 token_ms=$4 batch=$5
  shift 5
  add_engine "$name" "$domain" "$model" --token-ms "$token_ms" --max-batch "$batch" \
    --batch-slowdown 0.03 --report-lag-ms 400 "$@"
  capacity=$(awk "BEGIN{print $capacity + $batch * 1000 / ($token_ms * (1 + 0.03 * ($batch - 1)))}")
}

# Starts all hosts that were added, publishes everything, waits until all serve.
start_hosts() { # contract files...
  local entry
  for entry in "${HOSTS[@]}"; do start_host "${entry%%=*}"; done
  publish_host_list
  publish_configuration "$@"
  wait_ready
  # Hosts that were started together begin with the floor of each limit.
  sleep 3
}
