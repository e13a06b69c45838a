#!/usr/bin/env bash
# Guards the whole path as separate processes: with an engine killed and a host
# shut down under load, no answer is doubled, cut short, missing or falsely
# reported as not run.
set -eu
cd "$(dirname "$0")/.."
exec scripts/demo.sh --seed 20261203 --seconds 9
