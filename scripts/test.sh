#!/usr/bin/env bash
# Builds, checks format, lints and runs all tests with a fixed seed.
set -eu
cd "$(dirname "$0")/.."
export RC_PARAMS="seed=20261203"
build=${BUILD_DIR:-build}
scripts/build.sh
scripts/format.sh --check
scripts/lint.sh
ctest --test-dir "$build" --output-on-failure -j 6
