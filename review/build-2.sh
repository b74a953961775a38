#!/usr/bin/env bash
# Builds what the scripts of the second review start, into build-review-2/ at the repository's root: one program
# for each case, from its .cc file and stage.hh, with the compiler of the deploy file's packages alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/*/scene.cc; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review "$source" -o "build-review-2/scene-$number"
done
