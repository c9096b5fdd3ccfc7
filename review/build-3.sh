#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. The programs of the project are built by the command
# `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++17 -O1 -Wall -Wextra -o target/review-3/operator review/standin-3/operator.cpp
g++ -std=c++17 -O1 -Wall -Wextra -pthread -o target/review-3/server review/standin-3/server.cpp
g++ -std=c++17 -O1 -Wall -Wextra -pthread -o target/review-3/callers review/standin-3/callers.cpp
g++ -std=c++17 -O1 -Wall -Wextra -o target/review-3/launch review/standin-3/launch.cpp
