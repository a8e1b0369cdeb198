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
	File   string `arg:"" help:"Settings file."`
	Routed bool   `help:"The file is one for tillerd --routed."`
}

// Help shows examples.
func (settingsCheck) Help() string {
	return lines("Lists every mistake with file, line and field, as tillerd would at its start.",
		"", "Examples: tillerctl settings check sea-1.yaml", "          tillerctl settings check --routed entry-1.yaml")
}

// Run checks the file.
func (c *settingsCheck) Run(env *Env) error {
	if c.Routed {
		return c.checkRouted(env)
	}
	s, err := settings.Load(c.File)
	if err != nil {
		return c.mistakes(err)
	}
	t := table{heading: []string{"INSTANCE", "DOMAIN", "CALLERS", "PEERS", "OPERATORS"}}
	t.add(string(s.Instance), string(s.Domain), s.Listen.Callers, s.Listen.Peers, s.Listen.Operators)
	shown := map[string]any{"instance": s.Instance, "domain": s.Domain, "listen": map[string]string{
		"callers": s.Listen.Callers, "peers": s.Listen.Peers, "operators": s.Listen.Operators}}
	return env.show(result{data: shown, table: t, did: c.whole(), next: "tillerd --settings " + c.File})
}

func (c *settingsCheck) checkRouted(env *Env) error {
	s, err := settings.LoadRouted(c.File)
	if err != nil {
		return c.mistakes(err)
	}
	t := table{heading: []string{"INSTANCE", "DOMAIN", "CALLERS", "READINESS", "PEERS", "STORE"}}
	t.add(string(s.Instance), string(s.Domain), s.Listen.Callers, s.Listen.Readiness, s.Listen.Peers, s.Store.Address)
	shown := map[string]any{"instance": s.Instance, "domain": s.Domain, "store": s.Store.Address, "listen": map[string]string{
		"callers": s.Listen.Callers, "readiness": s.Listen.Readiness, "peers": s.Listen.Peers, "metrics": s.Listen.Metrics}}
	return env.show(result{data: shown, table: t, did: c.whole(), next: "tillerd --routed --settings " + c.File})
}

func (c *settingsCheck) whole() string { return fmt.Sprintf("%s is whole", c.File) }

// mistakes tells what is wrong with the file.
func (c *settingsCheck) mistakes(err error) error {
	var problems strictyaml.Problems
	if errors.As(err, &problems) {
		return fail(ExitBadInput, "mend these places", "%d mistakes in %s\n%s", len(problems), c.File, problems.Error())
	}
	return fail(ExitBadInput, "name a file that can be read", "%v", err)
}
