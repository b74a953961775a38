#!/usr/bin/env bash
# Counts the places where a clang-tidy check is silenced, and demands that each names its checks and its reason:
#   // NOLINT(check-name): reason       likewise NOLINTNEXTLINE and NOLINTBEGIN; NOLINTEND needs no reason
set -euo pipefail
cd "$(dirname "$0")/../.."

places=$(git grep -nE 'NOLINT' -- '*.h' '*.cpp' '*.h.in' ':!journal' | grep -v 'NOLINTEND' || true)
bare=$(grep -vE 'NOLINT(NEXTLINE|BEGIN)?\([a-z][a-zA-Z0-9.,* -]*\): [^ ]' <<< "$places" | grep . || true)
echo "NOLINT: $(grep -c . <<< "$places" || true)"
[ -z "$bare" ] || { printf 'NOLINT without a check or a reason:\n%s\n' "$bare"; exit 1; }
