package ctl

import (
	"fmt"

	"go.yaml.in/yaml/v3"

	"merlintiller/internal/protocol"
)

type configShow struct {
	AsFile bool `help:"Print the configuration as one YAML file that config check and apply take."`
}

// Help shows examples.
func (configShow) Help() string {
	return lines("With --as-file a folder that was lost can be made anew from what is in force.",
		"", "Example: tillerctl config show --as-file --instance 10.0.0.1:8003 > fleet/10-all.yaml")
}

// Run shows the configuration in force.
func (c *configShow) Run(env *Env) error {
	answer, err := fetchFleet(env)
	if err != nil {
		return err
	}
	did := asOf(answer)
	next := ""
	if !answer.LogUp {
		next = "the instance can't reach the log: there may be a newer version; ask an instance of another domain"
	}
	if c.AsFile {
		if err := writeFolderFile(env, answer.Fleet); err != nil {
			return err
		}
		return env.show(result{did: did, next: next, quiet: true})
	}
	shown, err := fleetView(answer)
	if err != nil {
		return err
	}
	return env.show(result{data: shown, table: fleetTable(answer.Fleet), did: did, next: next})
}

// writeFolderFile leaves out withdrawals of keys that were never known, which
// have no hash: they stay in force without the folder.
func writeFolderFile(env *Env, fleet *protocol.Fleet) error {
	form := formOf(fleet)
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
