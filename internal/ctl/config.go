package ctl

import (
	"errors"
	"fmt"

	"merlintiller/internal/fleetdir"
	"merlintiller/internal/protocol"
	"merlintiller/internal/strictyaml"
	"merlintiller/internal/transport/operatorapi"
)

type configCommands struct {
	Check configCheck `cmd:"" help:"Check a configuration folder without asking the fleet."`
	Diff  configDiff  `cmd:"" help:"Show what applying a folder would change."`
	Apply configApply `cmd:"" help:"Publish a folder as the configuration of the entire fleet."`
	Show  configShow  `cmd:"" help:"Show the configuration in force."`

	History configHistory `cmd:"" help:"Show the changes of the configuration."`
}

type configCheck struct {
	Folder string `arg:"" help:"Folder of YAML files."`
}

// Help shows examples.
func (configCheck) Help() string {
	return joinLines("Reads the files in the order of their names and lists every mistake with file, line and field.",
		"", "Example: tillerctl config check examples/cascadia")
}

// Run checks the folder.
func (c *configCheck) Run(env *Env) error {
	objects, err := loadFolder(c.Folder)
	if err != nil {
		return err
	}
	counts := countsOf(objects)
	return env.show(result{
		data: counts, table: counts.table(),
		summary: fmt.Sprintf("%s is valid: %d objects", c.Folder, objects.Count()),
		next:    "tillerctl config diff " + c.Folder,
	})
}

func loadFolder(folder string) (fleetdir.Objects, error) {
	objects, err := fleetdir.Load(folder)
	var problems strictyaml.Problems
	if errors.As(err, &problems) {
		return objects, fail(ExitBadInput, "correct these mistakes; nothing was changed", "%d mistakes in %s\n%s", len(problems), folder, problems.Error())
	}
	if err != nil {
		return objects, fail(ExitBadInput, "give a folder that can be read", "%v", err)
	}
	return objects, nil
}

type folderCounts struct {
	Organisations int `json:"organisations"`
	Keys          int `json:"keys"`
	Models        int `json:"models"`
	Services      int `json:"services"`
	Domains       int `json:"domains"`
}

func countsOf(o fleetdir.Objects) folderCounts {
	return folderCounts{len(o.Organisations), len(o.Keys), len(o.Models), len(o.Services), len(o.Domains)}
}

func (c folderCounts) table() table {
	t := table{heading: []string{"KIND", "OBJECTS"}}
	t.add("organisations", fmt.Sprint(c.Organisations))
	t.add("keys", fmt.Sprint(c.Keys))
	t.add("models", fmt.Sprint(c.Models))
	t.add("services", fmt.Sprint(c.Services))
	t.add("domains", fmt.Sprint(c.Domains))
	return t
}

type configDiff struct {
	Folder string `arg:"" help:"Folder of YAML files."`
}

// Help shows examples.
func (configDiff) Help() string {
	return joinLines("Compares the folder with the configuration in force at an instance. Changes nothing.",
		"", "Example: tillerctl config diff examples/cascadia --instance 10.0.0.1:8003")
}

// Run shows the difference.
func (c *configDiff) Run(env *Env) error {
	plan, _, err := planFor(env, c.Folder)
	if err != nil {
		return err
	}
	view := newPlannedChange(plan)
	next := "tillerctl config apply " + c.Folder
	if plan.Empty() {
		next = "nothing: the folder is in force"
	}
	return env.show(result{data: view, table: view.table(),
		summary: fmt.Sprintf("compared with version %d; nothing was changed", plan.Change.BasedOn), next: next})
}

func planFor(env *Env, folder string) (fleetdir.Plan, operatorapi.FleetAnswer, error) {
	objects, err := loadFolder(folder)
	if err != nil {
		return fleetdir.Plan{}, operatorapi.FleetAnswer{}, err
	}
	answer, err := fetchFleet(env)
	if err != nil {
		return fleetdir.Plan{}, operatorapi.FleetAnswer{}, err
	}
	return fleetdir.Diff(answer.Fleet, objects), answer, nil
}

func fetchFleet(env *Env) (operatorapi.FleetAnswer, error) {
	return fetchFleetFrom(env, env.Operator)
}

// fetchFleetWith fetches a configuration that has an organisation. The instance that answers
// first may not have read yet what was published through another one a moment ago, so all given
// instances are asked before the organisation counts as unknown.
func fetchFleetWith(env *Env, org protocol.OrganisationID) (operatorapi.FleetAnswer, error) {
	answer, err := fetchFleet(env)
	if err != nil {
		return answer, err
	}
	for _, base := range env.Operator.BaseURLs {
		if _, ok := answer.Fleet.Organisations[org]; ok {
			return answer, nil
		}
		other, err := fetchFleetFrom(env, &Client{BaseURLs: []string{base}, Secret: env.Operator.Secret, HTTP: env.Operator.HTTP})
		if err == nil && other.Fleet.Version > answer.Fleet.Version {
			answer = other
		}
	}
	if _, ok := answer.Fleet.Organisations[org]; ok {
		return answer, nil
	}
	return answer, fail(ExitBadInput, "tillerctl config show lists the organisations",
		"organisation %q is not in the configuration in force, version %d at %s", org, answer.Fleet.Version, answer.Instance)
}

func fetchFleetFrom(env *Env, client *Client) (operatorapi.FleetAnswer, error) {
	var answer operatorapi.FleetAnswer
	if err := client.Get(env.Context, operatorapi.PathFleet, &answer); err != nil {
		return answer, err
	}
	if answer.Fleet == nil {
		return answer, fail(ExitFailed, "", "the instance answered without a configuration")
	}
	return answer, nil
}
