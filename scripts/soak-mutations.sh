#!/usr/bin/env bash
# Shows that the soak finds faults: builds the gateway with one promise broken at a
# time, in a copy of the sources, and plays seeds until the promise is reported.
# Prints a row a mutation; exit 1 if one was not found within SEEDS seeds.
#   scripts/soak-mutations.sh [PROMISE...]   all mutations, or those of the promises
set -eu
cd "$(dirname "$0")/.."
seeds=${SEEDS:-8}
only=$*
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
cp -r CMakeLists.txt cmake include lib platform tools "$copy"
cmake -S "$copy" -B "$copy/out" -G Ninja -DTEASELHILL_TESTS=OFF >/dev/null
failed=0

# mutate PROMISE FILE SED-EXPRESSION
mutate() {
  [ -z "$only" ] || [[ " $only " == *" $1 "* ]] || return 0
  cp "$copy/$2" "$copy/kept"
  sed -i "$3" "$copy/$2"
  if cmp -s "$copy/kept" "$copy/$2"; then
    echo "$1 | $2 | the mutation changes nothing"
    failed=1
    return
  fi
  ninja -C "$copy/out" teaselhill-gateway >"$copy/build.log" || { tail -5 "$copy/build.log"; exit 1; }
  found=no
  for seed in $(seq 1 "$seeds"); do
    python3 scripts/soak/soak.py --binary "$copy/out/bin/teaselhill-gateway" \
      --seed "$seed" --seconds 10 --logs "$copy/logs" >"$copy/run.out" 2>&1 || true
    if tail -1 "$copy/run.out" | grep -qE "\"$1\": [1-9]"; then
      found="seed $seed"
      break
    fi
  done
  echo "$1 | $2 | found: $found"
  [ "$found" != no ] || failed=1
  cp "$copy/kept" "$copy/$2"
}

mutate twice lib/gateway/exchange_policy.cc 's/state.possible_runs >= state.max_attempts/false/; s/state.possible_runs == 0 || state.retryable/true/'
mutate not_run platform/http_protocol.cc 's/return status == 408 || status == 421 ||.*/return status == 408;/'
mutate mixed lib/gateway/exchange.cc 's/if (end.code != ResultCode::kOk)/if (false)/'
mutate order lib/gateway/exchange_end.cc 's/event_stream_.DiscardPartial();//'
mutate unasked platform/http_protocol.cc 's/"X-Kv-Hold",//'
mutate leaving lib/gateway/upstream_directory.cc 's/if (state.entry \&\& !state.entry->draining)/if (state.entry)/; s/may_reregister = .*/may_reregister = true;/'
mutate cut lib/gateway/daemon.cc 's/if (gateway_.open_requests() == 0 \&\& !caller_server_.HasUnsentResponses())//'
mutate denied lib/gateway/route_table.cc 's/return found == teams_by_key_.end() ? nullptr : found->second;/return nullptr;/'
mutate config_late platform/store_source.cc 's/{kConfigTopic, kConfigWait, Duration::zero()}/{kConfigTopic, Duration::zero(), 2 * kConfigWait}/'
mutate config_backwards lib/gateway/state_keeper.cc 's/if (current \&\& routes->version() <= current->version())/if (false)/'
mutate urgent lib/gateway/overload_gate.cc 's/if (level.route_tier == state.last_seen_by_level.begin()->first.route_tier)/if (false)/; s/state.last_seen_by_level.upper_bound(level)/state.last_seen_by_level.end()/'
exit $failed
