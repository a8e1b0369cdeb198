// Command tillerd is the daemon of one entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"merlintiller/internal/daemon"
	"merlintiller/internal/daemon/routed"
	"merlintiller/internal/external"
	"merlintiller/internal/logline"
	"merlintiller/internal/settings"
)

// Exit codes. Invalid settings have their own code, because a restart does not
// correct them.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

// dialTimeout limits any attempt to connect; most callers set a shorter deadline.
const dialTimeout = time.Second

type cli struct {
	Settings string `required:"" help:"Path of the settings file." type:"path"`
	Routed   bool   `help:"Serve the routes that operators publish in a shared store. The settings file has to be one for this mode."`
}

func main() {
	var args cli
	kong.Parse(&args, kong.Name("tillerd"), kong.Description("Run one entry instance of merlintiller."))
	if args.Routed {
		os.Exit(runRouted(args))
	}
	os.Exit(run(args))
}

// runRouted runs an instance that serves routes of a shared store.
func runRouted(args cli) int {
	s, err := settings.LoadRouted(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	lines := logline.NewWriter(os.Stdout)
	logger := daemon.NewLogger(lines, s.Log)
	defer lines.Start()()
	d, err := routed.New(s, external.OSNetwork{Timeout: dialTimeout}, logger)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go d.Reload(ctx, hangup, func() (*settings.Routed, error) { return settings.LoadRouted(args.Settings) })
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

func run(args cli) int {
	s, err := settings.Load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	lines := logline.NewWriter(os.Stderr)
	defer lines.Start()()
	logger := daemon.NewLogger(lines, s.Log)
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
