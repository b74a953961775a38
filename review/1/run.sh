#!/usr/bin/env bash
# Case 1, see claim.txt. Needs the build of the deploy file and review/build.sh. TROUBLE=0: without the disruption.
set -euo pipefail
cd "$(dirname "$0")/../.."
[ -x target/review/case-1 ] || exit 2
exec timeout -k 5 118 target/review/case-1 review/1
