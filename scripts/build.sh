#!/usr/bin/env bash
# Installs packages and builds everything into ${BUILD_DIR:-build}.
set -eu
cd "$(dirname "$0")/.."
scripts/install-deps.sh
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja >"$build.cmake.log" 2>&1 || { cat "$build.cmake.log"; exit 1; }
ninja -C "$build" "$@"
