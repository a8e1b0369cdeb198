// Package bench measures the system as processes on one machine and prints
// lines of the form `measure name=NAME unit=UNIT baseline=X now=Y`. A missing
// baseline is printed as "-".
package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"merlintiller/internal/harness"
	"merlintiller/internal/protocol"
)

// Options holds the options of a measurement.
type Options struct {
	// Dir is the folder for settings and logs, Bin that of the built programs.
	Dir, Bin string
	Out      io.Writer
}

// Measure is one printed line.
type Measure struct {
	Name, Unit string
	Baseline   *float64
	Now        float64
	// Note holds additional key=value pairs, such as the measured fleet size.
	Note string
}

func (o *Options) print(m Measure) {
	baseline := "-"
	if m.Baseline != nil {
		baseline = number(*m.Baseline)
	}
	fmt.Fprintf(o.Out, "measure name=%s unit=%s baseline=%s now=%s", m.Name, m.Unit, baseline, number(m.Now))
	if m.Note != "" {
		fmt.Fprintf(o.Out, " %s", m.Note)
	}
	fmt.Fprintln(o.Out)
}

func number(x float64) string { return strconv.FormatFloat(x, 'g', 4, 64) }

// Run runs the measurements one after another, so that they do not influence each
// other. only selects a single group; all groups run if it is empty.
func Run(ctx context.Context, opts Options, only string) error {
	steps := []struct {
		name string
		run  func(context.Context, Options) error
	}{
		{"entry", Entry},
		{"control", Control},
		{"agreement", Agreement},
		{"start", Start},
		{"scale", Scale},
	}
	for _, step := range steps {
		if only != "" && only != step.name {
			continue
		}
		dir := filepath.Join(opts.Dir, step.name)
		if err := os.RemoveAll(dir); err != nil {
			return err
		}
		stepOpts := opts
		stepOpts.Dir = dir
		if err := step.run(ctx, stepOpts); err != nil {
			return fmt.Errorf("measuring %s: %w", step.name, err)
		}
	}
	return nil
}

// Names in the measured configuration.
const (
	service      = "bench-models"
	model        = "bench-model"
	organisation = "bench"
)

var domains = []protocol.Domain{"pnw-sea", "pnw-pdx", "pnw-spk"}

// configuration writes a configuration folder with one organisation, whose rate is
// too high to limit the measurements, and returns the path of the folder.
func configuration(dir string) (string, error) {
	folder := filepath.Join(dir, "fleet")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", err
	}
	text := fmt.Sprintf(`domains:
  - {domain: pnw-sea, region: pnw, share: 1}
  - {domain: pnw-pdx, region: pnw, share: 1}
  - {domain: pnw-spk, region: pnw, share: 1}
services:
  - {name: %s, kind: model, repeatable: true, slots: 64, longest_order: 10s}
models:
  - {name: %s, service: %s}
organisations:
  - {id: %s, rate: 1000000, burst: 1000000}
`, service, model, service, organisation)
	return folder, os.WriteFile(filepath.Join(folder, "10-all.yaml"), []byte(text), 0o600)
}

// fleet is a running and configured fleet with an API key.
type fleet struct {
	*harness.Fleet
	secret string
	folder string
}

func start(ctx context.Context, opts harness.Options) (*fleet, error) {
	running, err := harness.StartFleet(ctx, opts)
	if err != nil {
		return nil, err
	}
	f := &fleet{Fleet: running}
	if err := f.configure(ctx, opts.Dir); err != nil {
		running.Kill()
		return nil, err
	}
	return f, nil
}

func (f *fleet) configure(ctx context.Context, dir string) error {
	folder, err := configuration(dir)
	if err != nil {
		return err
	}
	f.folder = folder
	if _, err := f.Ctl(ctx, "", append([]string{"config", "apply", folder}, f.OperatorFlags()...)...); err != nil {
		return err
	}
	f.secret, err = f.CreateKey(ctx, organisation)
	if err != nil {
		return err
	}
	for _, instance := range f.Instances {
		caller := harness.NewCaller(f.secret, func() []string { return []string{instance.Callers} })
		if err := caller.AwaitServed(ctx, model); err != nil {
			return err
		}
	}
	return nil
}

// instantTarget holds the flags of a target that answers without delay, so that the
// time added by the instance can be measured.
var instantTarget = []string{"--token-time=0s", "--token-time-per-stream=0s", "--prefill-time=0s"}

func seconds(d time.Duration) float64 { return d.Seconds() }
