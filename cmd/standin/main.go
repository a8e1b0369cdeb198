// Command standin runs stand-ins for the external systems that merlintiller uses:
// `standin platform` and `standin target`.
package main

import (
	"github.com/alecthomas/kong"
)

type cli struct {
	Platform platformCmd `cmd:"" help:"Run a platform: log, list of targets and weight store."`
	Target   targetCmd   `cmd:"" help:"Run a target: a model runner or a plain service."`
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Description("Stand-ins for the platform and for targets."))
	ctx.FatalIfErrorf(ctx.Run())
}
