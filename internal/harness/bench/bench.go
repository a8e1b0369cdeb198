// Package bench measures the system as processes on one machine and prints
// lines of the form `measure name=NAME unit=UNIT baseline=X now=Y`. A field
// without a value to compare with is printed as "-".
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

// Options of a measurement.
type Options struct {
	Dir, Bin string
	Out      io.Writer
}

// Measure is one printed line.
type Measure struct {
	Name, Unit string
	Baseline   *float64
	Now        float64
	// Note is a further key=value pair, such as the size measured at.
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

// Run takes the measurements, one after another so that they don't disturb
// each other. only names a single group, or is empty for all.
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
		one := opts
		one.Dir = dir
		if err := step.run(ctx, one); err != nil {
			return fmt.Errorf("measuring %s: %w", step.name, err)
		}
	}
	return nil
}

// The names that the measurements use.
const (
	service      = "bench-models"
	model        = "bench-model"
	organisation = "bench"
)

var domains = []protocol.Domain{"pnw-sea", "pnw-pdx", "pnw-spk"}

// configuration is a folder with one organisation whose rate never bounds.
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

// fleet is a started and configured fleet with a key.
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
		one := harness.NewCaller(f.secret, func() []string { return []string{instance.Callers} })
		if err := one.AwaitAnswer(ctx, model); err != nil {
			return err
		}
	}
	return nil
}

// instantTarget makes a target that costs next to nothing, so that what the
// instance adds stands out.
var instantTarget = []string{"--token-time=0s", "--token-time-per-stream=0s", "--prefill-time=0s"}

func seconds(d time.Duration) float64 { return d.Seconds() }
