# Plays cases of the soak beside each other, for the tests in test/.

# soak_cases PARALLEL ARGUMENTS... <<<CASES
# CASES: lines of "name | arguments of the case"; ARGUMENTS are common to all.
# Prints the output of those that fail, and fails if one does.
soak_cases() {
  local parallel=$1 running=0 name arguments folder
  shift
  folder=$(mktemp -d)
  while IFS='|' read -r name arguments; do
    # shellcheck disable=SC2086
    soak_case "$folder" "${name% }" "$@" $arguments &
    running=$((running + 1))
    if [ "$running" = "$parallel" ]; then
      wait
      running=0
    fi
  done
  wait
  local failed=0
  [ ! -e "$folder/failed" ] || failed=1
  # The logs of a failure are kept.
  [ "$failed" = 1 ] || rm -rf "$folder"
  return $failed
}

soak_case() { # FOLDER NAME ARGUMENTS...
  local folder=$1 name=$2
  shift 2
  if SKIP_BUILD=1 scripts/soak.sh --logs "$folder/$name" "$@" >"$folder/$name.out" 2>&1; then
    echo "passed: $name"
    tail -n 1 "$folder/$name.out"
  else
    echo "FAILED: $name"
    cat "$folder/$name.out"
    touch "$folder/failed"
  fi
}
