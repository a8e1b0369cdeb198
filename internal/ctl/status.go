package ctl

import (
	"fmt"
	"time"

	"merlintiller/internal/coordination/fleetstatus"
	"merlintiller/internal/protocol"
	"merlintiller/internal/transport/operatorapi"
)

type statusCommand struct{}

// Help shows examples.
func (statusCommand) Help() string {
	return joinLines("Shows on one screen which version is in force at each instance, which instances are unreachable and which jobs are late.",
		"The exit code is 0 if all is well and 1 if something needs an operator.",
		"", "Example: tillerctl status --instance 10.0.0.1:8003")
}

// Run shows the status.
func (c *statusCommand) Run(env *Env) error {
	var status fleetstatus.Status
	if err := env.Operator.Get(env.Context, operatorapi.PathStatus, &status); err != nil {
		return err
	}
	problems := problemsOf(status)
	err := env.show(result{data: status, table: statusTable(status),
		summary: fmt.Sprintf("version %d is the newest; %d instances answered, %d jobs run", status.NewestVersion(), len(status.Instances), status.JobsRunning)})
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		return fail(ExitFailed, "docs/OPERATIONS.md explains each of them", "%s", joinLines(problems...))
	}
	fmt.Fprintln(env.Stderr, "next: nothing, all is well")
	return nil
}

func statusTable(status fleetstatus.Status) table {
	t := table{heading: []string{"INSTANCE", "DOMAIN", "VERSION", "LOG", "WORK", "UP", "NOTE"}}
	newest := status.NewestVersion()
	for _, i := range status.Instances {
		version := fmt.Sprint(i.Version)
		if i.Version < newest {
			version += " (old)"
		}
		t.add(string(i.Instance), string(i.Domain), version, choose(i.LogUp, "up", "DOWN"), choose(i.MayHold, "holds", "NONE"),
			(time.Duration(i.UpSeconds) * time.Second).String(), noteOf(i))
	}
	for _, missing := range status.Unreached {
		t.add(string(missing.Instance), "?", "?", "?", "?", "?", choose(missing.SessionOpen, "not reached", "not reached, session ended"))
	}
	for _, job := range status.Late {
		t.add("job "+string(job.Job), "", "", "", "", "", fmt.Sprintf("%d of %d items left, due %s, organisation %s",
			job.ItemsLeft, job.Items, job.Deadline.UTC().Format(time.RFC3339), job.Organisation))
	}
	return t
}

func noteOf(i fleetstatus.Instance) string {
	if i.Draining {
		return "draining"
	}
	return i.Trouble
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

// problemsOf lists the conditions that need an operator.
func problemsOf(status fleetstatus.Status) []string {
	var out []string
	newest := status.NewestVersion()
	for _, i := range status.Instances {
		switch {
		case i.Trouble != "":
			out = append(out, fmt.Sprintf("%s: %s", i.Instance, i.Trouble))
		case !i.LogUp:
			out = append(out, fmt.Sprintf("%s can't read the log", i.Instance))
		case i.Version < newest:
			out = append(out, fmt.Sprintf("%s has version %d, not %d", i.Instance, i.Version, newest))
		}
	}
	for _, missing := range status.Unreached {
		text := fmt.Sprintf("%s can't be reached from %s", missing.Instance, status.CollectedBy)
		if !missing.SessionOpen {
			text += ", and its session has ended: it left the fleet, or can't reach the log either"
		}
		out = append(out, text)
	}
	if len(status.Late) > 0 {
		out = append(out, fmt.Sprintf("%d jobs are late or close to their deadline", len(status.Late)))
	}
	return out
}

type instancesCommand struct{}

// Help shows examples.
func (instancesCommand) Help() string { return "Example: tillerctl instances --output json" }

// Run lists the instances.
func (c *instancesCommand) Run(env *Env) error {
	var answer operatorapi.InstancesAnswer
	if err := env.Operator.Get(env.Context, operatorapi.PathInstances, &answer); err != nil {
		return err
	}
	t := table{heading: []string{"INSTANCE", "DOMAIN", "SESSION", "PEER ADDRESS", "HEARD"}}
	for _, i := range answer.Instances {
		session := i.Session
		if session == "" {
			session = "none"
		}
		heard := choose(i.Reachable, "yes", fmt.Sprintf("no, silent for %s", time.Duration(i.SinceHeartbeatMS)*time.Millisecond))
		t.add(string(i.Instance), string(i.Domain), session, i.PeerAddress, heard)
	}
	return env.show(result{data: answer, table: t, summary: fmt.Sprintf("%d instances known to %s", len(answer.Instances), answer.Instance),
		next: "tillerctl status queries each of them"})
}

type targetsCommand struct {
	Service string `help:"Only targets of this service."`
}

// Help shows examples.
func (targetsCommand) Help() string { return "Example: tillerctl targets --service tiller-reports" }

// Run lists the targets.
func (c *targetsCommand) Run(env *Env) error {
	var answer operatorapi.TargetsAnswer
	if err := env.Operator.Get(env.Context, operatorapi.PathTargets, &answer); err != nil {
		return err
	}
	view := answer.Targets[:0]
	t := table{heading: []string{"TARGET", "SERVICE", "DOMAIN", "ADDRESS", "ONLINE", "BATCH", "OTHERS", "FIRST BYTE", "STATE"}}
	for _, target := range answer.Targets {
		if c.Service != "" && target.Service != protocol.ServiceName(c.Service) {
			continue
		}
		view = append(view, target)
		state := choose(target.Leaving, "leaving", choose(target.Ejected, "ejected", "in use"))
		t.add(string(target.Target), string(target.Service), string(target.Domain), target.Address, fmt.Sprint(target.Online),
			fmt.Sprint(target.Batch), fmt.Sprintf("%.1f", target.PeerStreams), fmt.Sprintf("%.1f ms", target.FirstByteMS), state)
	}
	answer.Targets = view
	return env.show(result{data: answer, table: t, summary: fmt.Sprintf("%d targets known to %s; ONLINE and BATCH count only its own calls", len(view), answer.Instance)})
}

type drainCommand struct {
	Yes bool `help:"Drain the instance. Without this flag the command only says what it would do."`
}

// Help shows examples.
func (drainCommand) Help() string {
	return joinLines("The instance takes no new calls, finishes those in flight, hands over what it holds, and exits. No call is interrupted.",
		"Give exactly one instance.", "", "Example: tillerctl drain --yes --instance 10.0.0.1:8003")
}

// Run drains the instance.
func (c *drainCommand) Run(env *Env) error {
	if len(env.Operator.BaseURLs) != 1 {
		return fail(ExitBadInput, "give --instance once", "drain needs exactly one instance, so that no other one is drained by mistake")
	}
	if !c.Yes {
		return env.show(result{data: struct{}{}, summary: "would drain " + env.Operator.BaseURLs[0] + "; nothing was done", next: "the same command with --yes"})
	}
	var answer operatorapi.DrainAnswer
	if err := env.Operator.Post(env.Context, operatorapi.PathDrain, struct{}{}, &answer); err != nil {
		return err
	}
	return env.show(result{data: answer, summary: answer.Message, next: answer.Next})
}
