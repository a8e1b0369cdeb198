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
	TokenTime          time.Duration `default:"2ms" help:"Time for a token with no other stream in flight."`
	TokenTimePerStream time.Duration `default:"100us" help:"Additional time for a token per other stream."`
	PrefillTime        time.Duration `default:"5ms" help:"Additional time before the first token."`
	CallTime           time.Duration `default:"10ms" help:"Duration of a call of a plain service."`
	Tokens             int           `default:"32" help:"Tokens in an answer to a request without max_tokens."`
	LoadLag            time.Duration `default:"1s" help:"Age of the load reports."`
	ChecksFencing      bool          `help:"Reject orders with an outdated fencing number."`
	OrderTime          time.Duration `default:"500ms" help:"Duration of an order."`
}

// Run serves until the process is terminated.
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
