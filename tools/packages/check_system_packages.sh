#!/usr/bin/env bash
# Demands that `packages` in a deploy file lists every system package that its `build` needs: each header,
# library, CMake file and tool that the finished build used belongs to a package which an installation of that
# list onto nothing would bring. Changes nothing on the machine; needs apt's lists (apt-get update).
#   check_system_packages.sh DEPLOY_FILE      after its `build` command; the programs are what its roles `run`
set -euo pipefail
deploy=${1:?usage: check_system_packages.sh DEPLOY_FILE}
cd "$(dirname "$0")/../.."
root=$PWD
mapfile -t programs < <(sed -n 's/^run = "\([^ "]*\).*/\1/p' "$deploy" | sort -u)
[ ${#programs[@]} -gt 0 ] || { echo "$deploy runs no programs" >&2; exit 1; }
build=$root/$(dirname "${programs[0]}")
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

cached() { sed -n "s#^$1:[A-Z]*=##p" "$build/CMakeCache.txt"; }

# The packages that an installation of the list would bring where there is none yet, one a line.
resolve_closure() {
    local packages
    read -ra packages <<< "$(sed -n 's/^packages = \[\(.*\)\].*/\1/p' "$deploy" | tr -d '",')"
    [ ${#packages[@]} -gt 0 ] || { echo "$deploy lists no packages" >&2; return 1; }
    : > "$scratch/no_packages"
    apt-get -o Dir::State::status="$scratch/no_packages" -o Debug::NoLocking=1 --no-install-recommends \
        --simulate install "${packages[@]}" | sed -n 's/^Inst \([^ :]*\).*/\1/p' | sort -u
}

# What compilations read, from the dependencies that Ninja keeps; and what was read to configure the build.
list_headers() { ninja -C "$build" -t deps | sed -n 's/^    //p'; }
list_cmake_files() { ninja -C "$build" -t query build.ninja | sed -n 's/^    //p' | sed 's/^| *//'; }
list_schemas() {
    grep -rhoE 'import +"/[^"]+"' --include='*.capnp' "$root/src" | sed -E 's#.*"/([^"]+)"#/usr/include/\1#' || true
}

# What the linker opened: the programs' last commands are run again, into the scratch folder, and told to say it.
list_linked() {
    local program command
    for program in "${programs[@]##*/}"; do
        command=$(ninja -C "$build" -t commands "$program" | grep -E -- "-o $program( |\$)" | tail -n 1)
        [ -n "$command" ] || { echo "no command links $program" >&2; return 1; }
        command=${command//-o $program/-o $scratch/linked -Wl,--trace}
        (cd "$build" && sh -c "$command") | sed 's/^(\(.*\))$/\1/'
        ldd "$build/$program" | grep -oE '/[^ ]+'
    done
}

# The libraries and programs that were looked for and found, of which the build may use none: it asks for them.
list_found() { sed -nE 's#^[^:]+:(FILEPATH|STRING)=(/[^;]*)$#\2#p' "$build/CMakeCache.txt"; }

# The tools that make the build, and what the compiler calls itself; list_found has the others.
list_tools() {
    local compiler part
    compiler=$(cached CMAKE_CXX_COMPILER)
    printf '%s\n' "$compiler" "$(cached CMAKE_COMMAND)" "$(cached CMAKE_MAKE_PROGRAM)"
    for part in cc1plus collect2 as ld; do command -v "$("$compiler" -print-prog-name="$part")"; done
}

# Outside the repository and the build folder, by their plain names, and likewise what links among them lead to.
system_files() {
    local file
    grep '^/' | sort -u | while IFS= read -r file; do
        file=$(realpath -s -- "$file")
        [ -f "$file" ] || continue
        [[ $file == "$root"/* || $file == "$build"/* || $file == "$scratch"/* ]] && continue
        printf '%s\n' "$file"
        if [ -L "$file" ]; then realpath -- "$file"; fi
    done | sort -u
}

# Prints "FILE PACKAGE" for each of the files on standard input; "-" for one that no package has. With /usr
# merged a package may name a file without it. A link that is an alternative is judged by what it leads to.
owners() {
    sed -E 's#^/(bin|sbin|lib|lib64)/#/usr/\1/#' | sort -u > "$scratch/wanted"
    grep -rH '^/' --include='*.list' /var/lib/dpkg/info |
        sed -E 's#^/var/lib/dpkg/info/([^:]*)(:[a-z0-9]+)?\.list:#\1 #; s# /(bin|sbin|lib|lib64)/# /usr/\1/#' |
        awk -v wanted="$scratch/wanted" '
            BEGIN { while ((getline file < wanted) > 0) owner[file] = "-" }
            $2 in owner { owner[$2] = $1 }
            END { for (file in owner) print file, owner[file] }' | sort |
        while read -r file package; do
            if [ "$package" = - ] && [[ $(readlink -- "$file") == /etc/alternatives/* ]]; then continue; fi
            printf '%s %s\n' "$file" "$package"
        done
}

begin=$SECONDS
resolve_closure > "$scratch/closure"
for kind in headers cmake_files schemas linked found tools; do
    "list_$kind" > "$scratch/list"
    system_files < "$scratch/list" > "$scratch/$kind"
    echo "$(wc -l < "$scratch/$kind") $kind" >> "$scratch/counts"
done
sort -u "$scratch"/{headers,cmake_files,schemas,linked,found,tools} | owners > "$scratch/owned"
awk -v closure="$scratch/closure" '
    BEGIN { while ((getline package < closure) > 0) known[package] = 1 }
    !($2 in known) { print ($2 == "-" ? "no package has " $1 : "needs " $2 " for " $1) }' \
    "$scratch/owned" > "$scratch/lacking"

if [ -s "$scratch/lacking" ]; then
    echo "what $deploy lists does not bring what its build used:"
    head -n 40 "$scratch/lacking"
    echo "$(wc -l < "$scratch/lacking") of $(wc -l < "$scratch/owned") files lack their package"
    exit 1
fi
echo "packages: $(wc -l < "$scratch/owned") files ($(paste -sd, "$scratch/counts" | sed 's/,/, /g')) of" \
    "$(cut -d' ' -f2 "$scratch/owned" | sort -u | wc -l) packages, all among the $(wc -l < "$scratch/closure")" \
    "that $deploy brings; $((SECONDS - begin)) s"
