// Command standin runs the stand-ins for what merlintiller meets outside
// itself: `standin platform` and `standin target`.
package main

import (
	"github.com/alecthomas/kong"
)

type cli struct {
	Platform platformCmd `cmd:"" help:"Run the platform: log, list and weight store."`
	Target   targetCmd   `cmd:"" help:"Run a target: a model runner or a plain service."`
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Description("Stand-ins for the platform and for targets."))
	ctx.FatalIfErrorf(ctx.Run())
}
