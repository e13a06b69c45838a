# Lag and regressions of the configuration from the hosts' log lines.
($lines | map(select(.event == "config_record" and .verdict == "accepted") | .offset) | unique) as $accepted
| ($log[0].records | map(select(.time_ms >= $begin and (.offset as $o | $accepted | index($o) != null)))) as $changes
| ($lines | map(select(.event == "in_force")) | group_by(.host) | map(sort_by(.time_ms))) as $hosts
| [ $hosts[] as $seen | $seen[0].host as $host
    | ($reach[0] | map(select(.host == $host)) | sort_by(.at)) as $marks
    # Times in which the host could not be reached; the last may be open.
    | [ range($marks | length) as $i | $marks[$i] | select(.state == "down")
        | {from: .at, to: ($marks[$i + 1:] | map(select(.state == "up")) | (.[0].at // 1e15))} ] as $gaps
    | $changes[] as $change
    | (([$seen[] | select(.offset >= $change.offset and .time_ms >= $change.time_ms - 50) | .time_ms] | min)) as $force
    | ([$gaps[] | select(.to >= $change.time_ms and .from <= ($force // 1e14)) | .to] | max) as $gap_end
    | ([$change.time_ms, ($gap_end // 0)] | max) as $start
    | if $start >= 1e14 then 0
      elif $force == null then 999
      else ([($force - $start) / 1000, 0] | max) end
    | {host: $host, offset: $change.offset, lag: .} ] as $lags
| {config_changes: ($changes | length),
   config_lag_s_max: ($lags | map(.lag) | max // 999),
   config_lag_worst: ($lags | max_by(.lag)),
   config_regressions: ([$hosts[] | . as $seen | range(1; length) | select($seen[.].offset < $seen[. - 1].offset)] | length)}
