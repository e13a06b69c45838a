#!/usr/bin/env bash
# Measures what one host spends on control against the size of the fleet:
# processor time of the control thread, memory, and bytes a second by kind.
#
#   scripts/measure-slopes.sh [--part NAME] [--repeats N] [--build DIR]
#
# Parts: hosts upstreams reports contracts changes claims sends latency
# traffic; default: all.
# The last line of output is a JSON object with the slopes, their spread over the
# repeats and the extrapolation to the design size.
set -eu
cd "$(dirname "$0")/.."
if ! command -v python3 >/dev/null; then
  echo "python3 is needed" >&2
  exit 1
fi
exec python3 scripts/slopes/measure_slopes.py "$@"
