#!/usr/bin/env bash
# Fails where a file includes one of a folder that is not below its own, as layers.txt beside this script orders
# the folders, where a file is in no folder of that list, and where it includes a file that is not there.
#   include_direction.sh              the check
#   include_direction.sh --graph      which folder includes which, "COUNT FROM -> TO" each
set -euo pipefail
mode=${1:-}
layers=$(cd "$(dirname "$0")" && pwd)/layers.txt
[ -r "$layers" ] || { echo "cannot read $layers" >&2; exit 2; }
cd "$(dirname "$0")/../.."

git ls-files --cached --others --exclude-standard '*.h' '*.cpp' '*.capnp' '*.h.in' ':!journal' |
    while IFS= read -r file; do [ ! -f "$file" ] || printf '%s\n' "$file"; done |
    awk -v layers="$layers" -v mode="$mode" '
        # The longest entry of the layers file that the path is or lies in.
        function folder_of(path) {
            for (; path != ""; path = path ~ /\// ? substr(path, 1, match(path, /\/[^\/]*$/) - 1) : "")
                if (path in level) return path
            return ""
        }
        # The tracked file that a header is, or is generated from.
        function source_of(path) {
            if (path in tracked) return path
            if ((path ".in") in tracked) return path ".in"
            if (path ~ /\.capnp\.h$/ && substr(path, 1, length(path) - 2) in tracked)
                return substr(path, 1, length(path) - 2)
            return ""
        }
        function plain(path) {
            while (sub(/[^\/]+\/\.\.\//, "", path)) { }
            return path
        }
        function resolve(from, name, quoted,    i, found, here) {
            here = from
            sub(/[^\/]*$/, "", here)
            if (quoted && (found = source_of(plain(here name))) != "") return found
            for (i = 1; i <= roots; ++i) if ((found = source_of(root[i] name)) != "") return found
            return ""
        }
        function lies_in(path, folder) { return index(path, folder "/") == 1 }
        # The folders of the list that hold the one and the other path, where these are to be apart.
        function kept_apart(from, to,    g, i, j, size, part) {
            for (g = 1; g <= groups; ++g) {
                size = split(apart[g], part, " ")
                for (i = 1; i <= size; ++i)
                    for (j = 1; j <= size; ++j)
                        if (i != j && lies_in(from, part[i]) && lies_in(to, part[j])) return part[i] " and " part[j]
            }
            return ""
        }
        function complain(text) { print text; ++complaints }
        function check(file, line, number,    quoted, name, target, apart_from, from, to) {
            quoted = line ~ /"/
            name = line
            gsub(/^ *# *include *["<]|[">].*$/, "", name)
            target = resolve(file, name, quoted)
            if (target == "" && quoted) complain(file ":" number ": no file " name " of this repository")
            if (target == "") return
            ++includes
            apart_from = kept_apart(file, target)
            if (mode == "" && apart_from != "") complain(file ":" number ": includes " name ", but " apart_from " are apart")
            from = folder_of(file)
            to = folder_of(target)
            if (from == "" || to == "" || from == to) return
            ++count[from " -> " to]
            if (mode == "" && level[to] >= level[from])
                complain(file ":" number ": " from " is not above " to ", whose " name " it includes")
        }
        BEGIN {
            roots = split("src/ include/ testbed/ tests/", root, " ")
            while ((getline line < layers) > 0) {
                sub(/#.*/, "", line)
                if (sub(/^apart: */, "", line)) { apart[++groups] = line; continue }
                entries = split(line, entry, " ")
                if (entries) ++height
                for (i = 1; i <= entries; ++i) level[entry[i]] = height
            }
        }
        { tracked[$0] = 1; files[NR] = $0 }
        END {
            for (n = 1; n <= NR; ++n) {
                file = files[n]
                folder = folder_of(file)
                if (folder == "" && mode == "") complain(file ": in no folder of the layers file")
                used[folder] = 1
                if (file !~ /\.(h|cpp)$/) continue
                number = 0
                while ((getline line < file) > 0) {
                    ++number
                    if (line ~ /^ *# *include *["<]/) check(file, line, number)
                }
                close(file)
            }
            if (mode == "--graph") { for (edge in count) print count[edge], edge | "sort -k2" }
            else for (folder in level) if (!(folder in used)) complain("no files in " folder " of the layers file")
            if (mode == "" && !complaints) print "includes: " includes " of " NR " files, none goes upward"
            exit complaints > 0
        }'
