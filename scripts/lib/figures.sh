# Figures from the CSV file of a load run and from the stand-ins' journals, for
# the `extra` functions of experiments. Sourced by scripts/experiment.sh.

# Prints the goodput in tokens/s between two times of the load. The tokens of a
# streamed answer are spread from its first token to its end; the others count at
# the end.
goodput_between() { # from-s to-s
  awk -F, -v from="$1" -v to="$2" 'NR > 1 && $7 == "answered" {
      first = $5 == "" ? $6 : $5
      if ($6 - first < 0.001) { sum += ($6 >= from && $6 < to) ? $13 : 0; next }
      low = first > from ? first : from
      high = $6 < to ? $6 : to
      if (high > low) sum += $13 * (high - low) / ($6 - first)
    } END { printf "%.1f\n", sum / (to - from) }' "$RUN/requests.csv"
}

# Prints the answered requests per second among those that arrived between two
# times of the load.
admitted_between() { # from-s to-s
  awk -F, -v from="$1" -v to="$2" 'NR > 1 && $7 == "answered" && $4 >= from && $4 < to { n++ }
    END { printf "%.2f\n", n / (to - from) }' "$RUN/requests.csv"
}

# Prints the most answered requests per second over all windows of that length
# that begin at or after FROM.
most_admitted() { # from-s window-s
  awk -F, 'NR > 1 && $7 == "answered" { print $4 }' "$RUN/requests.csv" | sort -g |
    awk -v from="$1" -v window="$2" '$1 >= from { at[++n] = $1
        while (at[n] - at[first + 1] > window) first++
        if (n - first > most) most = n - first }
      END { printf "%.2f\n", most / window }'
}

# Prints the tokens that hosts received from an upstream in streams that broke.
# A crashed stand-in's journal does not hold them.
broken_stream_tokens() { # upstream
  cat "$RUN"/*-h*.log | jq -cR 'fromjson? // empty' |
    jq -s --arg upstream "$1" '[.[] | select(.event == "attempt_failed" and .upstream == $upstream) | .tokens] | add // 0'
}

# Prints how many runs an upstream began between two wall times in ms.
runs_between() { # upstream from-ms to-ms
  jq -sc --argjson from "$2" --argjson to "$3" \
    '[.[] | select(.started_ms > $from and .started_ms < $to) | [.request_id, .started_ms]] | unique | length' \
    "$RUN/$1.journal"
}

upstream_url() { # name
  echo "http://$(address_of "$1" "${ENGINES[@]}" "${SERVICES[@]}"):9000"
}

inject() { # upstream fault-json
  curl -fs -m 5 -o /dev/null "$(upstream_url "$1")/control/fault" -d "$2" || true
}
