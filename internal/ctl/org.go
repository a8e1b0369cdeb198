package ctl

import (
	"fmt"

	"merlintiller/internal/protocol"
	"merlintiller/internal/transport/operatorapi"
)

type orgCommands struct {
	List orgList `cmd:"" help:"List organisations with their rates."`
	Show orgShow `cmd:"" help:"Show one organisation with its keys."`
}

type orgList struct{}

// Help shows examples.
func (orgList) Help() string { return "Example: tillerctl org list --instance 10.0.0.1:8003" }

// organisationView is the output form of an organisation, with durations in
// milliseconds.
type organisationView struct {
	ID            protocol.OrganisationID `json:"id"`
	Name          string                  `json:"name,omitempty"`
	Rate          float64                 `json:"rate"`
	Burst         float64                 `json:"burst"`
	Weight        float64                 `json:"weight"`
	FirstToken    int64                   `json:"first_token_ms,omitempty"`
	BetweenTokens int64                   `json:"between_tokens_ms,omitempty"`
	Target        float64                 `json:"target,omitempty"`
	BatchOnTime   float64                 `json:"batch_on_time,omitempty"`
	KeysInUse     int                     `json:"keys_in_use"`
	KeysWithdrawn int                     `json:"keys_withdrawn"`
}

func newOrganisationView(fleet *protocol.Fleet, o protocol.Organisation) organisationView {
	out := organisationView{
		ID: o.ID, Name: o.Name, Rate: o.Rate, Burst: o.Burst, Weight: o.Weight,
		FirstToken: o.Objectives.FirstToken.Milliseconds(), BetweenTokens: o.Objectives.BetweenTokens.Milliseconds(),
		Target: o.Objectives.Target, BatchOnTime: o.Objectives.BatchOnTime,
	}
	if out.Weight == 0 {
		out.Weight = 1
	}
	for _, key := range fleet.Keys {
		switch {
		case key.Organisation != o.ID:
		case key.Withdrawn:
			out.KeysWithdrawn++
		default:
			out.KeysInUse++
		}
	}
	return out
}

func orgTable(view ...organisationView) table {
	t := table{heading: []string{"ORGANISATION", "RATE/S", "BURST", "WEIGHT", "FIRST TOKEN", "BETWEEN", "TARGET", "BATCH", "KEYS", "WITHDRAWN"}}
	for _, o := range view {
		t.add(string(o.ID), fmt.Sprint(o.Rate), fmt.Sprint(o.Burst), fmt.Sprint(o.Weight),
			milliseconds(o.FirstToken), milliseconds(o.BetweenTokens), share(o.Target), share(o.BatchOnTime),
			fmt.Sprint(o.KeysInUse), fmt.Sprint(o.KeysWithdrawn))
	}
	return t
}

func milliseconds(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", ms)
}

func share(value float64) string {
	if value == 0 {
		return "-"
	}
	return fmt.Sprintf("%g%%", value*100)
}

// Run lists the organisations.
func (c *orgList) Run(env *Env) error {
	answer, err := fetchFleet(env)
	if err != nil {
		return err
	}
	view := []organisationView{}
	for _, o := range sortedValues(answer.Fleet.Organisations) {
		view = append(view, newOrganisationView(answer.Fleet, o))
	}
	return env.show(result{data: view, table: orgTable(view...), summary: asOf(answer)})
}

func asOf(answer operatorapi.FleetAnswer) string {
	return fmt.Sprintf("as of version %d at %s", answer.Fleet.Version, answer.Instance)
}

type orgShow struct {
	Organisation string `arg:"" help:"Id of the organisation."`
}

// Help shows examples.
func (orgShow) Help() string { return "Example: tillerctl org show hollister-field --output yaml" }

// Run shows the organisation.
func (c *orgShow) Run(env *Env) error {
	org := protocol.OrganisationID(c.Organisation)
	answer, err := fetchFleetWith(env, org)
	if err != nil {
		return err
	}
	view := newOrganisationView(answer.Fleet, answer.Fleet.Organisations[org])
	return env.show(result{data: view, table: orgTable(view), summary: asOf(answer),
		next: "tillerctl key list --organisation " + c.Organisation})
}
