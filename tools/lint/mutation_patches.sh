#!/usr/bin/env bash
# Demands that every patch of testbed/mutations applies to the code as it stands, and names the tests that have
# to find it: code that changes leaves no mutation behind that nothing can play.
set -euo pipefail
cd "$(dirname "$0")/../.."

status=0
for patch in testbed/mutations/*.patch; do
  git apply --check "$patch" || { echo "$patch: does not apply"; status=1; }
  grep -q '^# test: [^ ][^ ]* [^ ]*/' "$patch" || { echo "$patch: names no test"; status=1; }
done
exit "$status"
