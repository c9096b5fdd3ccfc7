#!/usr/bin/env bash
# Installs the Debian packages needed to build, check and test, unless all of them are installed already.
set -euo pipefail

packages="g++ gcc cmake ninja-build clang-format clang-tidy ccache
    libulfius-dev libwebsocketpp-dev libdocopt-dev librapidcheck-dev libyaml-cpp-dev
    nlohmann-json3-dev rapidjson-dev catch2 libboost-log-dev libboost-dev libxxhash-dev libgnutls28-dev spin"

# shellcheck disable=SC2086
if ! dpkg -s $packages > /dev/null 2>&1; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $packages
fi
