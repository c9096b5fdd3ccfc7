#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, with the compiler of the deploy file's packages.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-2
echo '*' > build-2/.gitignore
g++ -std=c++17 -O1 -Wall -Wextra -pthread -Istandin-2 -c standin-2/deployment.cpp -o build-2/deployment.o
for program in 8/otherwriter 9/smuggled 10/head; do
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -Istandin-2 $program.cpp build-2/deployment.o -o build-2/${program#*/}
done
