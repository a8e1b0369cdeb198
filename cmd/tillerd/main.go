// Command tillerd is the daemon of one entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"merlintiller/internal/daemon"
	"merlintiller/internal/settings"
)

// Exit codes. Bad settings have a code of their own, because a restart does
// not mend them.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

type cli struct {
	Settings string `required:"" help:"Path of the settings file." type:"path"`
}

func main() {
	var args cli
	kong.Parse(&args, kong.Name("tillerd"), kong.Description("Run one entry instance of merlintiller."))
	os.Exit(run(args))
}

func run(args cli) int {
	s, err := settings.Load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	logger := daemon.NewLogger(os.Stderr, s.Log)
	d, err := daemon.New(s, logger)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}
