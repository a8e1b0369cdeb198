package ctl

import (
	"fmt"
	"sort"
	"strings"

	"github.com/alecthomas/kong"
)

type completionCommand struct {
	Shell string `arg:"" help:"bash or zsh." enum:"bash,zsh"`
}

// Help shows examples.
func (completionCommand) Help() string {
	return joinLines("Prints a script that completes commands and flags.",
		"", "Example: source <(tillerctl completion bash)")
}

// Run prints the script.
func (c *completionCommand) Run(env *Env) error {
	if c.Shell == "zsh" {
		fmt.Fprintln(env.Stdout, "autoload -U +X bashcompinit && bashcompinit")
	}
	fmt.Fprintf(env.Stdout, completionHead, completionCases(env.model.Node))
	return nil
}

// completionHead joins the words that are not flags to the command entered so far,
// and offers the words that may follow the command.
const completionHead = `_tillerctl() {
  local word="${COMP_WORDS[COMP_CWORD]}" path="" i
  for ((i = 1; i < COMP_CWORD; i++)); do
    case "${COMP_WORDS[i]}" in
      -*) ;;
      *) path="$path ${COMP_WORDS[i]}" ;;
    esac
  done
  case "${path# }" in
%s    *) COMPREPLY=($(compgen -f -- "$word")) ;;
  esac
}
complete -F _tillerctl tillerctl
`

func completionCases(root *kong.Node) string {
	var out strings.Builder
	flags := flagNames(root)
	var walk func(node *kong.Node, path string)
	walk = func(node *kong.Node, path string) {
		words := append([]string(nil), flags...)
		if node != root {
			words = append(words, flagNames(node)...)
		}
		for _, child := range node.Children {
			if child.Type == kong.CommandNode {
				words = append(words, child.Name)
				walk(child, strings.TrimSpace(path+" "+child.Name))
			}
		}
		sort.Strings(words)
		fmt.Fprintf(&out, "    %q) COMPREPLY=($(compgen -W %q -f -- \"$word\")) ;;\n", path, strings.Join(words, " "))
	}
	walk(root, "")
	return out.String()
}

func flagNames(node *kong.Node) []string {
	var names []string
	for _, flag := range node.Flags {
		names = append(names, "--"+flag.Name)
	}
	return names
}
