. scripts/experiments/straggler.sh
description="upstreams leave by host list, by operator and by 503, and return"
default_seconds=34

# Notes the wall time in ms at which an upstream leaves or returns.
note() { # upstream leaves|returns sign
  echo "$1 $2 $3 $(date +%s%3N)" >>"$RUN/leaving"
}

faults() {
  at 5 note d1-e1 leaves host_list
  publish_host_list d1-e1
  at 7 note d1-e2 leaves operator
  ctl upstream drain d1-e2 >>"$RUN/ctl.log"
  at 9 note d2-e1 leaves refusal
  inject d2-e1 '{"kind": "refuse"}'
  at 18 note d1-e1 returns host_list
  publish_host_list
  at 19 note d1-e2 returns operator
  ctl upstream undrain d1-e2 >>"$RUN/ctl.log"
  at 20 note d2-e1 returns refusal
  inject d2-e1 '{"kind": "clear"}'
}

# Counts the runs that began from 3 s after the sign until the return, and those
# that began after the return.
extra() {
  local name from to sign result=""
  for name in d1-e1 d1-e2 d2-e1; do
    from=$(awk -v n=$name '$1 == n && $2 == "leaves" { print $4 }' "$RUN/leaving")
    to=$(awk -v n=$name '$1 == n && $2 == "returns" { print $4 }' "$RUN/leaving")
    sign=$(awk -v n=$name '$1 == n { print $3; exit }' "$RUN/leaving")
    result="$result,\"$sign\":{\"first_3s\":$(runs_between $name "$from" $((from + 3000))),\"late\":$(runs_between $name $((from + 3000)) "$to"),\"returned\":$(runs_between $name "$to" $((to + 60000)))}"
  done
  echo "{\"leaving\":{${result#,}}}"
}

bounds() {
  echo '([.leaving[].late] | add) == 0 and ([.leaving[].returned] | min) > 0 and ([.classes[] | .cut_short + .not_run + .unknown] | add) == 0 and .duplicate_runs == 0 and .incomplete_answers == 0 and .unanswered == 0 and .false_not_run == 0'
}
