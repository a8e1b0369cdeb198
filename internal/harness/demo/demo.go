// Package demo demonstrates the whole system on one machine, including failures. It
// applies a configuration, runs online calls and a batch job at the same time,
// kills an instance and a target meanwhile, and checks every answer and every
// result.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"merlintiller/internal/harness"
	"merlintiller/internal/protocol"
)

// Sizes and names of the demonstration, with three failure domains as at Cascadia.
const (
	perDomain      = 3
	modelTargets   = 10
	plainTargets   = 2
	batchItems     = 6000
	batchTokens    = 8
	onlineCallers  = 8
	onlineTokens   = 12
	filings        = 40
	killAfterItems = 500
	model          = "tiller-reports"
	organisation   = "hollister-field"
)

// Options holds the options of the demonstration.
type Options struct {
	// Dir is the folder for settings and logs, Bin that of the built programs.
	Dir, Bin string
	// Examples is the configuration folder to apply.
	Examples string
	Out      io.Writer
}

// demo is one run of the demonstration.
type demo struct {
	Options
	fleet  *harness.Fleet
	secret string
	caller *harness.Caller
}

// Run runs the demonstration and returns an error if any check fails.
func Run(ctx context.Context, opts Options) error {
	if err := os.RemoveAll(opts.Dir); err != nil {
		return err
	}
	d := &demo{Options: opts}
	if err := d.start(ctx); err != nil {
		return err
	}
	defer d.fleet.Kill()
	if err := d.runTraffic(ctx); err != nil {
		return err
	}
	began := time.Now()
	if err := d.fleet.Stop(); err != nil {
		return fmt.Errorf("graceful stop: %w", err)
	}
	d.printf("stopped took=%s", time.Since(began).Round(time.Millisecond))
	return nil
}

func (d *demo) printf(format string, args ...any) {
	fmt.Fprintf(d.Out, "demo "+format+"\n", args...)
}

func (d *demo) start(ctx context.Context) error {
	began := time.Now()
	fleet, err := harness.StartFleet(ctx, harness.Options{
		Dir:       d.Dir,
		Bin:       d.Bin,
		Domains:   []protocol.Domain{"pnw-sea", "pnw-pdx", "pnw-spk"},
		PerDomain: perDomain,
		Targets: []harness.TargetGroup{
			{Service: "tiller-reports", Kind: protocol.KindModel, Count: modelTargets, Args: []string{"--checks-fencing"}},
			{Service: "report-filing", Kind: protocol.KindPlain, Count: plainTargets},
		},
		Settings: "timings:\n  drain_notice: 500ms\n",
	})
	if err != nil {
		return err
	}
	d.fleet = fleet
	d.printf("started instances=%d targets=%d took=%s", len(fleet.Instances), len(fleet.Targets), time.Since(began).Round(time.Millisecond))
	if err := d.configure(ctx); err != nil {
		fleet.Kill()
		return err
	}
	return nil
}

// configure applies the configuration folder and creates a key, both with tillerctl.
func (d *demo) configure(ctx context.Context) error {
	began := time.Now()
	if _, err := d.fleet.Ctl(ctx, "", append([]string{"config", "apply", d.Examples}, d.fleet.OperatorFlags()...)...); err != nil {
		return err
	}
	d.printf("configuration applied took=%s", time.Since(began).Round(time.Millisecond))
	secret, err := d.fleet.CreateKey(ctx, organisation)
	if err != nil {
		return err
	}
	d.secret = secret
	d.caller = harness.NewCaller(d.secret, d.callerAddresses)
	return d.awaitFirstAnswer(ctx)
}

// callerAddresses returns the caller addresses of the running instances, among which
// the platform's load balancer would choose.
func (d *demo) callerAddresses() []string {
	var out []string
	for _, instance := range d.fleet.Instances {
		if !instance.Process.Exited() {
			out = append(out, instance.Callers)
		}
	}
	return out
}

// awaitFirstAnswer waits until each instance has served a call. The instance then
// accepts the key and has received the list of targets, which is delayed.
func (d *demo) awaitFirstAnswer(ctx context.Context) error {
	began := time.Now()
	for _, address := range d.callerAddresses() {
		caller := harness.NewCaller(d.secret, func() []string { return []string{address} })
		if err := caller.AwaitServed(ctx, model); err != nil {
			return err
		}
	}
	d.printf("every instance serves took=%s", time.Since(began).Round(time.Millisecond))
	return nil
}

// runTraffic runs the batch job, online calls and filings at the same time, and
// kills an instance and a target meanwhile.
func (d *demo) runTraffic(ctx context.Context) error {
	job, err := d.submit(ctx)
	if err != nil {
		return err
	}
	online := d.startOnline(ctx)
	filed := d.startFilings(ctx)
	if err := d.killInstanceAndTarget(ctx, job); err != nil {
		return err
	}
	jobErr := d.finishJob(ctx, job)
	return errors.Join(jobErr, online.finish(d), filed.finish(ctx, d))
}

func (d *demo) inputFile() string { return filepath.Join(d.Dir, "items.jsonl") }
