#!/usr/bin/env bash
# Runs clang-tidy over the repository's own source files, as the compile commands of a configured build folder
# say, and fails on any finding. Every source file of the repository has to be among those commands; generated
# ones are left out. Files of the build folder that sources include must have been generated before.
#   clang_tidy.sh BUILD_FOLDER [FILE...]      FILE: only these, as paths from the repository's root
#   JOBS=4 of how many to run at once, by default one for each processor
set -euo pipefail
build=$(cd "${1:?usage: clang_tidy.sh BUILD_FOLDER [FILE...]}" && pwd)
shift
cd "$(dirname "$0")/../.."
root=$PWD jobs=${JOBS:-$(nproc)}

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files --cached --others --exclude-standard '*.cpp' ':!journal' | sort > "$scratch/sources"
sed -n 's/^ *"file": *"\(.*\)",\{0,1\}$/\1/p' "$build/compile_commands.json" | sed "s#^$root/##" | sort -u \
    > "$scratch/compiled"
if ! missing=$(comm -23 "$scratch/sources" "$scratch/compiled") || [ -n "$missing" ]; then
    printf 'not among the compile commands of %s:\n%s\n' "$build" "$missing"
    exit 1
fi
[ $# -eq 0 ] || printf '%s\n' "$@" > "$scratch/sources"

# A file's findings are printed in one piece; clang-tidy's own counts of what it hides are left out.
check_file() {
    local findings
    findings=$(clang-tidy --quiet -p "$1" "$2" 2> /dev/null) && return
    printf '%s\n' "${findings:-$2: clang-tidy failed}"
    return 1
}
export -f check_file

# The largest first, so that no long one is left over at the end.
begin=$SECONDS
# shellcheck disable=SC2016  # the inner shell is to expand these
if ! xargs -d '\n' ls -S < "$scratch/sources" |
    xargs -d '\n' -P "$jobs" -I '{}' bash -c 'check_file "$1" "$2"' check "$build" '{}' > "$scratch/findings"; then
    cat "$scratch/findings"
    echo "clang-tidy: $(grep -E '^[^ ]+: (warning|error): ' "$scratch/findings" | sort -u | wc -l) findings"
    exit 1
fi
echo "clang-tidy: $(wc -l < "$scratch/sources") files clean in $((SECONDS - begin)) s"
