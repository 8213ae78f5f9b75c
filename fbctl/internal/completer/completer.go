// Package completer generates the bash completion script of fbctl.
package completer

import (
	"fmt"
	"strings"

	"fuchsiabridge.example/common/configurer"
)

const bashTemplate = `# bash completion of fbctl: source <(fbctl completion)
_fbctl() {
  local word=${COMP_WORDS[COMP_CWORD]} command=${COMP_WORDS[1]}
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "%s" -- "$word"))
  elif [[ $word == -* ]]; then
    COMPREPLY=($(compgen -W "%s" -- "$word"))
  elif [ "$command" = explain ]; then
    COMPREPLY=($(compgen -W "change/ request/ target/ peer/ log" -- "$word"))
  elif [ "$command" = apply ]; then
    COMPREPLY=($(compgen -f -- "$word"))
  else
    COMPREPLY=($(compgen -W "%s" -- "$word"))
  fi
}
complete -o nospace -F _fbctl fbctl
`

// Bash returns the bash completion script for the given commands and flags, and for the paths of
// configurer.Rules up to their first "*".
func Bash(commands, flags []string) string {
	var paths []string
	for _, rule := range configurer.Rules() {
		path, _, _ := strings.Cut(rule.Pattern, "*")
		paths = append(paths, path)
	}
	return fmt.Sprintf(bashTemplate, strings.Join(commands, " "), strings.Join(flags, " "), strings.Join(paths, " "))
}
