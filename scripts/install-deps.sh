#!/usr/bin/env bash
# Installs the packages that the build and the tests need (Debian 12).
set -eu
packages="g++ cmake ninja-build ccache clang-format clang-tidy curl jq python3
librestinio-dev libasio-dev libwebsocketpp-dev prometheus-cpp-dev libcli11-dev
libboost-log-dev catch2 librapidcheck-dev nlohmann-json3-dev
libcurl4-openssl-dev libxxhash-dev libssl-dev libpcg-cpp-dev"
missing=""
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing="$missing $package"
done
if [ -n "$missing" ]; then
  apt-get update -qq
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
fi
