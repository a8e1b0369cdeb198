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
	return joinLines("Lists every mistake with file, line and field, as tillerd does at startup.",
		"", "Examples: tillerctl settings check sea-1.yaml", "          tillerctl settings check --routed entry-1.yaml")
}

// Run checks the file.
func (c *settingsCheck) Run(env *Env) error {
	if c.Routed {
		return c.checkRouted(env)
	}
	s, err := settings.Load(c.File)
	if err != nil {
		return c.failureOf(err)
	}
	t := table{heading: []string{"INSTANCE", "DOMAIN", "CALLERS", "PEERS", "OPERATORS"}}
	t.add(string(s.Instance), string(s.Domain), s.Listen.Callers, s.Listen.Peers, s.Listen.Operators)
	view := map[string]any{"instance": s.Instance, "domain": s.Domain, "listen": map[string]string{
		"callers": s.Listen.Callers, "peers": s.Listen.Peers, "operators": s.Listen.Operators}}
	return env.show(result{data: view, table: t, summary: c.summary(), next: "tillerd --settings " + c.File})
}

func (c *settingsCheck) checkRouted(env *Env) error {
	s, err := settings.LoadRouted(c.File)
	if err != nil {
		return c.failureOf(err)
	}
	t := table{heading: []string{"INSTANCE", "DOMAIN", "CALLERS", "READINESS", "PEERS", "STORE"}}
	t.add(string(s.Instance), string(s.Domain), s.Listen.Callers, s.Listen.Readiness, s.Listen.Peers, s.Store.Address)
	view := map[string]any{"instance": s.Instance, "domain": s.Domain, "store": s.Store.Address, "listen": map[string]string{
		"callers": s.Listen.Callers, "readiness": s.Listen.Readiness, "peers": s.Listen.Peers, "metrics": s.Listen.Metrics}}
	return env.show(result{data: view, table: t, summary: c.summary(), next: "tillerd --routed --settings " + c.File})
}

func (c *settingsCheck) summary() string { return fmt.Sprintf("%s is valid", c.File) }

// failureOf returns the failure for an error of loading the file.
func (c *settingsCheck) failureOf(err error) error {
	var problems strictyaml.Problems
	if errors.As(err, &problems) {
		return fail(ExitBadInput, "correct these mistakes", "%d mistakes in %s\n%s", len(problems), c.File, problems.Error())
	}
	return fail(ExitBadInput, "give a file that can be read", "%v", err)
}
