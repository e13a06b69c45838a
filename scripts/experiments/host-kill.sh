description="an entry host is killed and comes back"
default_seconds=30

. scripts/experiments/steady.sh
description="an entry host is killed and comes back"

faults() {
  at 8 kill -KILL "${PIDS[d1-h1]}"
  at 16 start_host d1-h1
}

# Requests that the killed host held are lost to their callers: they end as
# connections that broke, which is `unanswered`.
bounds() {
  echo '.duplicate_runs == 0 and .incomplete_answers == 0 and .false_not_run == 0 and .attainment.draft >= 0.95'
}
