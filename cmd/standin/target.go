package main

import (
	"context"
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/target"
)

type targetCmd struct {
	ID                 string        `required:"" help:"Id of the target."`
	Service            string        `required:"" help:"Service the target belongs to."`
	Domain             string        `required:"" help:"Failure domain of the target."`
	Kind               string        `default:"model" enum:"model,plain" help:"Model runner or plain service."`
	Listen             string        `required:"" help:"Address to listen on, ip:port."`
	TokenTime          time.Duration `default:"2ms" help:"Time of a token with nothing else in flight."`
	TokenTimePerStream time.Duration `default:"100us" help:"What each other stream adds to it."`
	PrefillTime        time.Duration `default:"5ms" help:"Time to the first token beside it."`
	CallTime           time.Duration `default:"10ms" help:"Time of a plain service's call."`
	Tokens             int           `default:"32" help:"Length of an answer without max_tokens."`
	LoadLag            time.Duration `default:"1s" help:"Age of the load reports."`
	ChecksFencing      bool          `help:"Refuse orders with an old fencing number."`
	OrderTime          time.Duration `default:"500ms" help:"Time to carry out an order."`
}

// Run serves until the process is ended.
func (c *targetCmd) Run() error {
	return target.Run(context.Background(), target.Config{
		ID:                 protocol.TargetID(c.ID),
		Service:            protocol.ServiceName(c.Service),
		Domain:             protocol.Domain(c.Domain),
		Kind:               protocol.ServiceKind(c.Kind),
		Address:            c.Listen,
		TokenTime:          c.TokenTime,
		TokenTimePerStream: c.TokenTimePerStream,
		PrefillTime:        c.PrefillTime,
		CallTime:           c.CallTime,
		Tokens:             c.Tokens,
		LoadLag:            c.LoadLag,
		ChecksFencing:      c.ChecksFencing,
		OrderTime:          c.OrderTime,
	})
}
