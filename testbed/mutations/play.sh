#!/usr/bin/env bash
# Plays the mutations of this folder: each *.patch breaks the production code in one way, and its first lines
# name the tests that have to find it, `# test: CTEST-NAME SUITE/TEST` (Criterion). For each one, in a copy of
# the tracked tree: the named tests pass as the code is, the patch applies and builds, and every named test
# then fails by an assertion; not by a crash, by time or by being absent. Ends with 1 where one survives.
#   play.sh BUILD_FOLDER [NAME...]      BUILD_FOLDER keeps the copy, so that a next play builds little.
#   JOBS=4 of the build, TEST_SECONDS=120 at most for one test.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(git -C "$here" rev-parse --show-toplevel)
folder=$(mkdir -p "${1:?usage: play.sh BUILD_FOLDER [NAME...]}" && cd "$1" && pwd)
shift
jobs=${JOBS:-4} seconds=${TEST_SECONDS:-120}
tree=$folder/tree build=$folder/build log=$folder/log
mkdir -p "$tree" "$log"
exec 9> "$folder/lock"
flock -n 9 || { echo "another play has $folder"; exit 2; }

patches=()
if [ $# -eq 0 ]; then
    patches=("$here"/*.patch)
else
    for name in "$@"; do patches+=("$here/$(basename "$name" .patch).patch"); done
fi

# The copy: what differs is taken anew, so that the build does only what has changed, and what is no longer
# tracked goes.
sync_tree() {
    local file
    (cd "$root" && git ls-files -z -- . ':!journal' ':!docs') > "$folder/files"
    while IFS= read -r -d '' file; do
        [ -f "$root/$file" ] || continue
        cmp -s "$root/$file" "$tree/$file" && continue
        mkdir -p "$(dirname "$tree/$file")" && cp "$root/$file" "$tree/$file" || return 1
    done < "$folder/files"
    (cd "$tree" && find . -type f -printf '%P\0' | sort -z) > "$folder/there"
    while IFS= read -r -d '' file; do rm -f "$tree/$file"; done < \
        <(sort -z "$folder/files" | comm -z -13 - "$folder/there")
}
# tests_of PATCH: a line "PROGRAM FILTER" each.
tests_of() { sed -n 's/^# test: *\([^ ]*\) *\([^ ]*\) *$/\1_tests \2/p' "$1"; }
build_programs() { cmake --build "$build" -j"$jobs" --target "$@" > "$log/build" 2>&1; }
# Says how a test ended: passed, asserted, absent, late, crashed.
outcome_of() {
    local program status out=$log/test
    program=$(find "$build" -type f -name "$1" -perm -u+x | head -1)
    [ -n "$program" ] || { echo absent; return; }
    timeout "$seconds" "$program" --jobs 1 --filter "$2" > "$out" 2>&1
    status=$?
    if [ $status -eq 124 ]; then echo late
    elif ! grep -q 'Tested: *[1-9]' "$out"; then echo absent
    elif [ $status -eq 0 ]; then echo passed
    elif grep -q 'Assertion Failed' "$out" && ! grep -q 'Crashing: *[1-9]' "$out"; then echo asserted
    else echo crashed
    fi
}

sync_tree || exit 2
generator=()
[ -f "$build/CMakeCache.txt" ] || { command -v ninja > /dev/null && generator=(-G Ninja); }
cmake -S "$tree" -B "$build" "${generator[@]}" -DCMAKE_BUILD_TYPE=Release -DSHALETRAY_TESTS=ON \
    -DSHALETRAY_SYSTEM=ON > "$log/configure" 2>&1 || { tail -20 "$log/configure"; exit 2; }
programs=$(for patch in "${patches[@]}"; do tests_of "$patch"; done | cut -d' ' -f1 | sort -u)
[ -n "$programs" ] || { echo "no patch names a test"; exit 2; }
# shellcheck disable=SC2086
build_programs $programs || { tail -30 "$log/build"; echo "the code does not build without a mutation"; exit 2; }

declare -A clean
while read -r program filter; do
    clean["$program $filter"]=$(outcome_of "$program" "$filter")
done < <(for patch in "${patches[@]}"; do tests_of "$patch"; done | sort -u)

# Not as a part of this repository, in which git would pass over all paths but the copy's own. Fails where a
# file that the patch names is as it was.
apply() {
    local file
    (cd "$tree" && GIT_CEILING_DIRECTORIES=$folder git apply "$1") || return 1
    while read -r file; do
        ! cmp -s "$root/$file" "$tree/$file" || { echo "$file: the patch changes nothing"; return 1; }
    done < <(sed -n 's|^+++ b/||p' "$1")
}
# judge PATCH: empty where every named test finds the mutation; else what went wrong.
judge() {
    local name program filter outcome programs
    name=$(basename "$1" .patch)
    programs=$(tests_of "$1" | cut -d' ' -f1 | sort -u)
    [ -n "$programs" ] || { echo "names no test"; return; }
    while read -r program filter; do
        outcome=${clean["$program $filter"]}
        [ "$outcome" = passed ] || { echo "$filter without the mutation: $outcome"; return; }
    done < <(tests_of "$1")
    apply "$1" > "$log/$name.apply" 2>&1 || { echo "does not apply: $log/$name.apply"; return; }
    # shellcheck disable=SC2086
    build_programs $programs || { cp "$log/build" "$log/$name.build"; echo "does not build: $log/$name.build"; return; }
    while read -r program filter; do
        outcome=$(outcome_of "$program" "$filter")
        cp "$log/test" "$log/$name.test" 2> /dev/null
        case $outcome in
            asserted) ;;
            passed) echo "survives $filter"; return ;;
            *) echo "$filter: $outcome, no assertion failed: $log/$name.test"; return ;;
        esac
    done < <(tests_of "$1")
}

passed=0 failed=0
for patch in "${patches[@]}"; do
    name=$(basename "$patch" .patch)
    if [ -f "$patch" ]; then what=$(judge "$patch"); else what="there is no such patch"; fi
    if [ -z "$what" ]; then
        passed=$((passed + 1))
        echo "found     $name by $(tests_of "$patch" | cut -d' ' -f2 | paste -sd' ')"
    else
        failed=$((failed + 1))
        echo "NOT FOUND $name: $what"
    fi
    sync_tree || exit 2    # as it was; with new times, so that the next build takes it
done
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
