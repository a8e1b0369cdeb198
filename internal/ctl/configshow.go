package ctl

import (
	"fmt"

	"go.yaml.in/yaml/v3"

	"merlintiller/internal/protocol"
)

type configShow struct {
	AsFile bool `help:"Print the configuration as one YAML file that config check and config apply accept."`
}

// Help shows examples.
func (configShow) Help() string {
	return joinLines("With --as-file a lost folder can be restored from the configuration in force.",
		"", "Example: tillerctl config show --as-file --instance 10.0.0.1:8003 > fleet/10-all.yaml")
}

// Run shows the configuration in force.
func (c *configShow) Run(env *Env) error {
	answer, err := fetchFleet(env)
	if err != nil {
		return err
	}
	summary := asOf(answer)
	next := ""
	if !answer.LogUp {
		next = "the instance can't reach the log, so there may be a newer version; ask an instance of another domain"
	}
	if c.AsFile {
		if err := writeFolderFile(env, answer.Fleet); err != nil {
			return err
		}
		return env.show(result{summary: summary, next: next, dataPrinted: true})
	}
	view, err := fleetView(answer)
	if err != nil {
		return err
	}
	return env.show(result{data: view, table: fleetTable(answer.Fleet), summary: summary, next: next})
}

// writeFolderFile writes the configuration as one file of a folder. It omits keys
// without a hash. These were withdrawn although the configuration never contained
// them; their withdrawal stays in force without the folder.
func writeFolderFile(env *Env, fleet *protocol.Fleet) error {
	form := folderFormOf(fleet)
	known := form.Keys[:0]
	for _, key := range form.Keys {
		if key.SHA256 != "" {
			known = append(known, key)
		}
	}
	form.Keys = known
	out := yaml.NewEncoder(env.Stdout)
	out.SetIndent(2)
	if err := out.Encode(form); err != nil {
		return fmt.Errorf("writing the configuration: %w", err)
	}
	return out.Close()
}
