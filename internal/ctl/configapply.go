package ctl

import (
	"fmt"
	"time"

	"merlintiller/internal/coordination/fleetstatus"
	"merlintiller/internal/fleetdir"
	"merlintiller/internal/protocol"
	"merlintiller/internal/transport/operatorapi"
)

// statusPollInterval is how often waitUntilInForce checks whether a version is in
// force at every instance. A version usually is within a second.
const statusPollInterval = 250 * time.Millisecond

type configApply struct {
	Folder string `arg:"" help:"Folder of YAML files."`
	Wait   bool   `help:"Wait until every instance that can be reached has the change in force."`
}

// Help shows examples.
func (configApply) Help() string {
	return joinLines("Publishes the difference. If another operator's change is published first, nothing is changed and the exit code is 3.",
		"After a lost answer run it again: objects that are already in force are not published again.",
		"A change that is too large for one log entry is published in parts, each of them a valid change.",
		"", "Example: tillerctl config apply examples/cascadia --wait --instance 10.0.0.1:8003 --instance 10.0.0.2:8003")
}

// Run publishes the folder.
func (c *configApply) Run(env *Env) error {
	plan, answer, err := planFor(env, c.Folder)
	if err != nil {
		return err
	}
	view := newPlannedChange(plan)
	if plan.Empty() {
		return env.show(result{data: view, table: view.table(),
			summary: fmt.Sprintf("nothing to do: the folder is in force as version %d at %s", answer.Fleet.Version, answer.Instance),
			next:    "tillerctl status"})
	}
	done, err := c.publishParts(env, plan.Change)
	if err != nil {
		return c.confirmAfterLostAnswer(env, err)
	}
	view.Version = done.Version
	if c.Wait {
		return c.waitUntilInForce(env, view, done)
	}
	return env.show(result{data: view, table: view.table(), summary: done.Message, next: done.Next})
}

// publishParts publishes a change, in several parts if it is too large for one log
// entry. Another operator may publish a change between two parts; the earlier parts
// then remain in force.
func (c *configApply) publishParts(env *Env, change protocol.FleetChange) (operatorapi.ChangeAnswer, error) {
	parts := fleetdir.Split(change)
	var done operatorapi.ChangeAnswer
	for i, part := range parts {
		if i > 0 {
			part.BasedOn = done.Version
		}
		answer, err := publish(env, part)
		if err != nil && i > 0 {
			failure := asFailure(err)
			return done, fail(failure.Exit, "run the same command again: it publishes the rest",
				"%d of %d parts are in force as version %d; the next one failed: %s", i, len(parts), done.Version, failure.Message)
		}
		if err != nil {
			return done, err
		}
		done = answer
	}
	return done, nil
}

// confirmAfterLostAnswer checks whether a change whose answer was lost is in force.
// If it is not, it may still take effect: the exit code says so.
func (c *configApply) confirmAfterLostAnswer(env *Env, cause error) error {
	if asFailure(cause).Exit != ExitMayHaveTakenEffect {
		return cause
	}
	plan, answer, err := planFor(env, c.Folder)
	if err != nil || !plan.Empty() {
		return cause
	}
	view := newPlannedChange(plan)
	view.Version = answer.Fleet.Version
	return env.show(result{data: view, table: view.table(),
		summary: fmt.Sprintf("the answer was lost, but the folder is in force as version %d at %s", answer.Fleet.Version, answer.Instance),
		next:    "tillerctl status"})
}

// waitUntilInForce polls until every instance that answers has the version in force.
func (c *configApply) waitUntilInForce(env *Env, view plannedChange, done operatorapi.ChangeAnswer) error {
	start := env.Now()
	for {
		var status fleetstatus.Status
		if err := env.Operator.Get(env.Context, operatorapi.PathStatus, &status); err != nil {
			return err
		}
		outdated := countOutdated(status, done.Version)
		if outdated == 0 {
			summary := fmt.Sprintf("version %d is in force at all %d instances that can be reached, confirmed after %s",
				done.Version, len(status.Instances), env.Now().Sub(start).Round(time.Millisecond))
			next := "nothing"
			if len(status.Unreached) > 0 {
				summary += fmt.Sprintf("; %d were not reached", len(status.Unreached))
				next = "tillerctl status names them"
			}
			return env.show(result{data: view, table: view.table(), summary: summary, next: next})
		}
		select {
		case <-env.Context.Done():
			return fail(ExitUnavailable, "tillerctl status names them", "version %d is accepted but not yet in force at %d instances", done.Version, outdated)
		case <-env.After(statusPollInterval):
		}
	}
}

// countOutdated counts the instances whose configuration is older than version.
func countOutdated(status fleetstatus.Status, version protocol.Offset) int {
	count := 0
	for _, instance := range status.Instances {
		if instance.Version < version {
			count++
		}
	}
	return count
}

// publish sends a change under a new id.
func publish(env *Env, change protocol.FleetChange) (operatorapi.ChangeAnswer, error) {
	var answer operatorapi.ChangeAnswer
	id, err := randomID(env, "chg")
	if err != nil {
		return answer, err
	}
	err = env.Operator.Post(env.Context, operatorapi.PathChanges, operatorapi.ChangeRequest{
		ChangeID: id,
		BasedOn:  change.BasedOn,
		Set:      change.Set,
		Remove:   change.Remove,
		At:       env.Now(),
	}, &answer)
	return answer, err
}
