package ctl

import (
	"errors"
	"fmt"

	"merlintiller/internal/settings"
	"merlintiller/internal/strictyaml"
)

type settingsCommands struct {
	Check settingsCheck `cmd:"" help:"Check a settings file of tillerd."`
}

type settingsCheck struct {
	File string `arg:"" help:"Settings file."`
}

// Help shows examples.
func (settingsCheck) Help() string {
	return lines("Lists every mistake with file, line and field, as tillerd would at its start.",
		"", "Example: tillerctl settings check sea-1.yaml")
}

// Run checks the file.
func (c *settingsCheck) Run(env *Env) error {
	s, err := settings.Load(c.File)
	var problems strictyaml.Problems
	if errors.As(err, &problems) {
		return fail(ExitBadInput, "mend these places", "%d mistakes in %s\n%s", len(problems), c.File, problems.Error())
	}
	if err != nil {
		return fail(ExitBadInput, "name a file that can be read", "%v", err)
	}
	t := table{heading: []string{"INSTANCE", "DOMAIN", "CALLERS", "PEERS", "OPERATORS"}}
	t.add(string(s.Instance), string(s.Domain), s.Listen.Callers, s.Listen.Peers, s.Listen.Operators)
	shown := map[string]any{"instance": s.Instance, "domain": s.Domain, "listen": map[string]string{
		"callers": s.Listen.Callers, "peers": s.Listen.Peers, "operators": s.Listen.Operators}}
	return env.show(result{data: shown, table: t, did: fmt.Sprintf("%s is whole", c.File), next: "tillerd --settings " + c.File})
}
