#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy protobuf-compiler libprotobuf-dev
  libboost1.81-dev libboost-program-options1.81-dev libboost-system1.81-dev libssl-dev prometheus-cpp-dev
  libspdlog-dev libfmt-dev doctest-dev nlohmann-json3-dev libbenchmark-dev libxxhash-dev librapidcheck-dev
  libjsonrpccpp-dev libjsoncpp-dev libsodium-dev curl openssl)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" > /dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" > /dev/null
