#!/bin/bash
# Installs the Debian packages that the project needs. Prints nothing if all are
# installed.
set -e
packages="g++ make cmake clang-format clang-tidy
  libcpprest-dev libnng-dev prometheus-cpp-dev libcli11-dev libspdlog-dev
  libfmt-dev libtomlplusplus-dev libboost-dev libboost-test-dev
  libboost-system-dev libboost-coroutine-dev libboost-context-dev
  librapidcheck-dev libmsgpack-cxx-dev nlohmann-json3-dev libxxhash-dev
  libssl-dev zlib1g-dev gnuplot-nox"
missing=
for package in $packages; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086  # a list of names
apt-get install -y -qq --no-install-recommends $missing >/dev/null
