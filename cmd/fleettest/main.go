// Command fleettest runs the entire system as processes on loopback, for a
// demonstration that checks every answer and for measurements. It also runs
// measurements in virtual time and summarises the fault matrix.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"

	"merlintiller/internal/harness/bench"
	"merlintiller/internal/harness/demo"
	"merlintiller/internal/harness/matrix"
	"merlintiller/internal/policybench"
	"merlintiller/internal/policybench/slots"
)

type cli struct {
	Demo   demoCmd   `cmd:"" help:"Run the demonstration."`
	Bench  benchCmd  `cmd:"" help:"Run the measurements with processes."`
	Policy policyCmd `cmd:"" help:"Run the measurements of the policies in virtual time."`
	Slots  slotsCmd  `cmd:"" help:"Compare strategies for dividing the slots of targets, in virtual time."`
	Matrix matrixCmd "cmd:\"\" help:\"Sum up the fault matrix from the events of `go test -json`, read from the standard input.\""
}

type demoCmd struct {
	Bin      string `default:"bin" help:"Folder of the built programs."`
	Dir      string `default:".demo" help:"Folder for settings and logs, emptied first."`
	Examples string `default:"examples/cascadia" help:"Configuration folder to apply."`
}

// Run runs the demonstration.
func (c *demoCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return demo.Run(ctx, demo.Options{Dir: c.Dir, Bin: c.Bin, Examples: c.Examples, Out: os.Stdout})
}

type benchCmd struct {
	Bin  string `default:"bin" help:"Folder of the built programs."`
	Dir  string `default:".demo/bench" help:"Folder for settings and logs, emptied first."`
	Only string `enum:",entry,control,agreement,start,scale" default:"" help:"Run only one group of measurements."`
}

// Run runs the measurements.
func (c *benchCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return bench.Run(ctx, bench.Options{Dir: c.Dir, Bin: c.Bin, Out: os.Stdout}, c.Only)
}

type policyCmd struct{}

// Run runs the measurements. Their results are the same on every machine, except the
// costs of decisions, which are measured in real time.
func (c *policyCmd) Run() error {
	policybench.Run(os.Stdout)
	return nil
}

type slotsCmd struct {
	Days int `default:"40" help:"Simulated days of each kind, each with its own seed."`
}

// Run simulates the days.
func (c *slotsCmd) Run() error {
	slots.Run(os.Stdout, c.Days)
	return nil
}

type matrixCmd struct{}

// Run exits with status 1 if a cell is red or a test of the matrix failed without
// reporting a cell.
func (c *matrixCmd) Run() error {
	report, err := matrix.Read(os.Stdin)
	if err != nil {
		return err
	}
	report.Write(os.Stdout)
	if report.Count(matrix.Red) > 0 || len(report.FailedTests) > 0 {
		os.Exit(1)
	}
	return nil
}

func main() {
	ctx := kong.Parse(&cli{})
	ctx.FatalIfErrorf(ctx.Run())
}
