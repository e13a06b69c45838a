#!/usr/bin/env bash
# Guards against requests that a host has read before or in a planned stop with a
# grace shorter than its answers, and that end with its connection, without an answer.
set -eu
cd "$(dirname "$0")/.."
. scripts/lib/soak_cases.sh
export SOAK_PROGRAM=scripts/soak/planned_stop.py

soak_cases 1 --answer-seconds 0.05 5 --slots 8 --caller-habits "$@" \
  <<<"grace-of-1-s | --seed 304 --grace 1"
