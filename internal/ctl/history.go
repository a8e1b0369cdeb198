package ctl

import (
	"fmt"
	"strings"
	"time"

	"merlintiller/internal/transport/operatorapi"
)

type configHistory struct {
	Last int `help:"Number of changes to show." default:"20"`
}

// Help shows examples.
func (configHistory) Help() string {
	return joinLines("Shows who changed what, the newest first. Withdrawn keys are listed too.",
		"", "Example: tillerctl config history --last 5 --instance 10.0.0.1:8003")
}

// Run shows the history.
func (c *configHistory) Run(env *Env) error {
	var answer operatorapi.HistoryAnswer
	if err := env.Operator.Get(env.Context, operatorapi.PathHistory, &answer); err != nil {
		return err
	}
	answer.Changes = answer.Changes[:min(max(c.Last, 0), len(answer.Changes))]
	t := table{heading: []string{"VERSION", "AT", "OPERATOR", "CHANGE", "OBJECTS"}}
	for _, change := range answer.Changes {
		at := "-"
		if !change.At.IsZero() {
			at = change.At.UTC().Format(time.RFC3339)
		}
		t.add(fmt.Sprint(change.Version), at, change.Operator, change.ChangeID, strings.Join(change.Objects, ", "))
	}
	return env.show(result{data: answer, table: t, summary: fmt.Sprintf("%d changes known to %s", len(answer.Changes), answer.Instance)})
}
