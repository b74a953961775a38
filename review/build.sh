#!/usr/bin/env bash
# Builds the programs of the cases into target/review/. Needs the compiler of the deploy file's packages only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.cc; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra -o "target/review/case-$number" "$source" -pthread
done
