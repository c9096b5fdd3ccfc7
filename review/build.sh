#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review
mkdir -p "$out"
for case in */*.cpp; do
    [ "$case" = standin/standin.cpp ] && continue
    g++ -std=c++17 -O1 -Wall -Wextra -pthread "$case" standin/standin.cpp -o "$out/$(basename "$case" .cpp)"
done
