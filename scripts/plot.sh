#!/usr/bin/env bash
# Draws the CSV file of a load run (`CSV=FILE scripts/experiment.sh NAME`): for
# each class the share of requests answered within target over the time of
# arrival, then goodput and wasted tokens over the time at which requests ended.
# OUT ends in .svg or .png. Installs gnuplot on first use.
set -eu
usage() {
  echo "usage: $0 CSV OUT.svg|OUT.png [--bin SECONDS]" >&2
  exit 7
}
[ $# -ge 2 ] || usage
csv=$1
out=$2
bin=1
if [ "${3:-}" = --bin ]; then bin=${4:-}; elif [ $# -gt 2 ]; then usage; fi
[[ $bin =~ ^[1-9][0-9]*$ ]] || usage
[ -r "$csv" ] || { echo "cannot read '$csv'" >&2; exit 7; }
head -1 "$csv" | grep -q 'answer_tokens,within_target,engine_tokens$' ||
  { echo "'$csv' lacks the columns within_target and engine_tokens" >&2; exit 7; }
if ! command -v gnuplot >/dev/null; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq gnuplot-nox >/dev/null
fi

# Classes by tier, the most urgent first.
mapfile -t classes < <(tail -n +2 "$csv" | awk -F, '{print $3, $2}' | sort -n | uniq | cut -d' ' -f2)
[ "${#classes[@]}" -gt 0 ] || { echo "'$csv' has no requests" >&2; exit 7; }
rows=$((${#classes[@]} + 1))
height=$((60 + rows * 130))
case "$out" in
  *.svg) terminal="svg size 900,$height font 'Helvetica,13' background rgb 'white'" ;;
  *.png) terminal="png size 900,$height font ',11' background rgb 'white'" ;;
  *) usage ;;
esac

data=$(mktemp -d)
trap 'rm -rf "$data"' EXIT
for class in "${classes[@]}"; do
  # Requests whose caller disconnected do not count, as in the report. A bin
  # without requests has no attainment.
  awk -F, -v class="$class" -v bin="$bin" 'NR > 1 && $2 == class && $7 != "disconnected" {
      at = int($4 / bin) * bin; sent[at]++; good[at] += $14; if (at > last) last = at }
    END { print -1000, "NaN", 0  # outside the plot: gnuplot warns about empty data
          for (at = 0; at <= last; at += bin)
            if (sent[at]) print at + bin / 2, 100 * good[at] / sent[at], "NaN"
            else print at + bin / 2, "NaN", 100 }' "$csv" >"$data/$class"
done
awk -F, -v bin="$bin" 'NR > 1 {
    at = int(($6 == "" ? $4 : $6) / bin) * bin
    if (at > last) last = at
    useful = $7 == "answered" ? $13 : 0
    good[at] += useful
    if ($15 > useful) waste[at] += $15 - useful }
  END { for (at = 0; at <= last; at += bin) print at + bin / 2, good[at] / bin, waste[at] / bin }' \
  "$csv" >"$data/tokens"
peak=$(awk '$2 + $3 > peak { peak = $2 + $3 } END { print peak ? peak : 1 }' "$data/tokens")
step=$(awk -v peak="$peak" 'BEGIN { step = 10 ^ int(log(peak) / log(10)); if (peak / step < 2) step /= 2; print step }')
end=$(tail -1 "$data/tokens" | awk -v bin="$bin" '{print $1 + bin / 2}')

{
  echo "set terminal $terminal"
  echo "set output '$out'"
  echo "set multiplot layout $rows,1 margins 0.10,0.86,$(awk "BEGIN{print 50/$height, 1-35/$height}") spacing 0.01,$(awk "BEGIN{print 32/$height}")" |
    sed 's/\([0-9.]*\) \([0-9.]*\) spacing/\1,\2 spacing/'
  echo "set xrange [0:$end]; set yrange [0:100]; set ytics 0,50,100; set grid ytics xtics lc rgb '#dddddd'"
  echo "set style fill solid 0.9; set boxwidth $bin * 0.9; set border 3; set tics nomirror out"
  echo "set key outside right center Left reverse samplen 1; set format x ''; set datafile missing 'NaN'"
  for class in "${classes[@]}"; do
    total=$(awk -F, -v class="$class" 'NR > 1 && $2 == class && $7 != "disconnected" { n++; good += $14 }
      END { printf "%.1f%% of %d", n ? 100 * good / n : 100, n }' "$csv")
    echo "set title 'class $class: within target, $total' offset 0,-0.7; set ylabel '%'"
    echo "plot '$data/$class' using 1:2 with boxes lc rgb '#4477aa' title 'in time', '$data/$class' using 1:3 with boxes lc rgb '#dddddd' title 'idle'"
  done
  echo "set format x '%g'; set xlabel 'seconds since the start of the load'"
  echo "set yrange [0:*]; set ytics $step; set ylabel 'tokens/s'"
  echo "set title 'goodput and waste' offset 0,-0.7"
  echo "plot '$data/tokens' using 1:(\$2+\$3) with boxes lc rgb '#cc6677' title 'waste', '$data/tokens' using 1:2 with boxes lc rgb '#228833' title 'goodput'"
} | gnuplot
