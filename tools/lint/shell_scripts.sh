#!/usr/bin/env bash
# Runs shellcheck over the repository's shell scripts: what ends with .sh or .bash or begins with a shell's #!.
set -euo pipefail
cd "$(dirname "$0")/../.."

mapfile -t scripts < <(
    git ls-files --cached --others --exclude-standard -- ':!journal' ':!docs' | while IFS= read -r file; do
        [ -f "$file" ] || continue
        if [[ $file == *.sh || $file == *.bash ]] || head -n 1 -- "$file" | grep -qaE '^#!.*[/ ](ba|da)?sh\b'; then
            printf '%s\n' "$file"
        fi
    done)
shellcheck "${scripts[@]}"
echo "shellcheck: ${#scripts[@]} scripts clean"
