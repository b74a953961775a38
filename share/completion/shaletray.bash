# bash completion for shaletray: source this file, or put it where bash-completion looks.
# What may follow is asked of the program itself, so that nothing here grows old.
_shaletray() {
	local current=${COMP_WORDS[COMP_CWORD]}
	local words=("${COMP_WORDS[@]:1:COMP_CWORD-1}")
	mapfile -t COMPREPLY < <(compgen -W "$("${COMP_WORDS[0]}" __complete "${words[@]}" 2>/dev/null)" -- "$current")
	[[ ${#COMPREPLY[@]} -gt 0 ]] || mapfile -t COMPREPLY < <(compgen -f -- "$current")
}
complete -o filenames -F _shaletray shaletray
