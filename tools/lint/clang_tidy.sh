#!/usr/bin/env bash
# Runs clang-tidy over the repository's own source files, as the compile commands of a configured build folder
# say, and fails on any finding. Every source file of the repository has to be among those commands; generated
# ones are left out. Headers that are generated must be there. A file that was found clean is not read again
# while its text, all that it includes, its command and the configuration stay the same: the build folder keeps
# a digest of these in clang_tidy_clean.
#   clang_tidy.sh BUILD_FOLDER [FILE...]      FILE: only these, as paths from the repository's root
#   JOBS=4 of how many to run at once, by default one for each processor
set -euo pipefail
build=$(cd "${1:?usage: clang_tidy.sh BUILD_FOLDER [FILE...]}" && pwd)
shift
cd "$(dirname "$0")/../.."
root=$PWD jobs=${JOBS:-$(nproc)}

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
mkdir -p "$build/clang_tidy_clean"
git ls-files --cached --others --exclude-standard '*.cpp' ':!journal' |
    while IFS= read -r file; do [ ! -f "$file" ] || printf '%s\n' "$file"; done | sort > "$scratch/sources"

# "FILE<tab>COMMAND" of each entry of the compile commands.
sed -nE -e 's/^ *"command": *"(.*)",?$/\1/; T file; s/\\(["\\])/\1/g; h; d' \
    -e ': file' -e 's/^ *"file": *"(.*)",?$/\1/p; T; x; p' "$build/compile_commands.json" |
    paste - - | sed "s#^$root/##" | sort -u -t "$(printf '\t')" -k1,1 > "$scratch/commands"
missing=$(cut -f1 "$scratch/commands" | comm -23 "$scratch/sources" -)
[ -z "$missing" ] || { printf 'not among the compile commands of %s:\n%s\n' "$build" "$missing"; exit 1; }
[ $# -eq 0 ] || printf '%s\n' "$@" > "$scratch/sources"

# Prints the digest of all that clang-tidy's judgement of a file depends on.
digest_of() {
    local file=$1 command
    command=$(awk -F '\t' -v file="$file" '$1 == file { print $2; exit }' "$scratch/commands")
    cd "$build" || return
    {
        printf '%s\n' "$command"
        clang-tidy --version && clang-tidy --dump-config "$root/$file" -- &&
            eval "${command% -o * -c *} -E -C $(printf '%q' "$root/$file")"
    } 2> /dev/null | sha256sum | cut -d ' ' -f 1
}
# A file's findings are printed in one piece; clang-tidy's own counts of what it hides are left out.
check_file() {
    local file=$1 digest findings
    digest=$(set -o pipefail && digest_of "$file") || digest=
    [ -n "$digest" ] && [ -e "$build/clang_tidy_clean/$digest" ] && return
    if findings=$(clang-tidy --quiet -p "$build" "$file" 2> /dev/null); then
        [ -z "$digest" ] || touch "$build/clang_tidy_clean/$digest"
        echo "$file" >> "$scratch/read"
        return
    fi
    printf '%s\n' "${findings:-$file: error: clang-tidy failed}"
    return 1
}
export root build scratch
export -f digest_of check_file

# The largest first, so that no long one is left over at the end.
begin=$SECONDS
touch "$scratch/read"
# shellcheck disable=SC2016  # the inner shell is to expand this
if ! xargs -d '\n' ls -S < "$scratch/sources" |
    xargs -d '\n' -P "$jobs" -n 1 bash -c 'check_file "$1"' check > "$scratch/findings"; then
    cat "$scratch/findings"
    echo "clang-tidy: $(grep -E ' (warning|error): ' "$scratch/findings" | sort -u | wc -l) findings"
    exit 1
fi
echo "clang-tidy: $(wc -l < "$scratch/sources") files clean in $((SECONDS - begin)) s," \
    "$(wc -l < "$scratch/read") of them read anew"
