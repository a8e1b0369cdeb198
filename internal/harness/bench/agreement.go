package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"merlintiller/internal/harness"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/platformsrv"
)

// pollPeriod is the resolution of the times measured in this file.
const pollPeriod = 10 * time.Millisecond

// Agreement measures, with 12 instances, how long a configuration change and a key
// withdrawal take to be in force, how many appends a batch job needs, and how long
// the takeover of a crashed instance's chunks takes.
func Agreement(ctx context.Context, opts Options) error {
	f, err := start(ctx, harness.Options{
		Dir: opts.Dir, Bin: opts.Bin, Domains: domains, PerDomain: 4,
		Targets: []harness.TargetGroup{{Service: service, Kind: protocol.KindModel, Count: 12}},
	})
	if err != nil {
		return err
	}
	defer f.Kill()
	for _, step := range []func(context.Context, Options, *fleet) error{
		measureConfigChange, measureConfigChangeIsolated, measureKeyWithdrawal, measureAppends, measureTakeover,
	} {
		if err := step(ctx, opts, f); err != nil {
			return err
		}
	}
	return nil
}

// measureConfigChange publishes a configuration change and waits until every
// instance has applied it.
func measureConfigChange(ctx context.Context, opts Options, f *fleet) error {
	took, err := f.applyChange(ctx, "first", f.Instances)
	if err != nil {
		return err
	}
	opts.print(Measure{Name: "config.in_force_s", Unit: "s", Now: took, Note: "instances=12"})
	return nil
}

// measureConfigChangeIsolated does the same while one failure domain is isolated
// from the platform.
func measureConfigChangeIsolated(ctx context.Context, opts Options, f *fleet) error {
	if err := f.SetFaults(ctx, platformsrv.Faults{Cut: []string{string(domains[2])}}); err != nil {
		return err
	}
	time.Sleep(settleTime)
	took, err := f.applyChange(ctx, "second", f.Instances)
	if err != nil {
		return err
	}
	opts.print(Measure{Name: "config.in_force_cut_s", Unit: "s", Now: took, Note: "instances=12 cut_domains=1"})
	if err := f.SetFaults(ctx, platformsrv.Faults{}); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// applyChange adds an organisation and returns the seconds from the start of the
// command until every instance has the new version.
func (f *fleet) applyChange(ctx context.Context, name string, instances []*harness.Instance) (float64, error) {
	text := fmt.Sprintf("organisations:\n  - {id: %s, rate: 1, burst: 1}\n", name)
	if err := os.WriteFile(filepath.Join(f.folder, "20-"+name+".yaml"), []byte(text), 0o600); err != nil {
		return 0, err
	}
	began := time.Now()
	flags := []string{"--instance=" + f.Instances[0].Operators}
	if _, err := f.Ctl(ctx, "", append([]string{"config", "apply", f.folder}, flags...)...); err != nil {
		return 0, err
	}
	for _, instance := range instances {
		err := await(ctx, func() bool { return f.hasOrganisation(ctx, instance, name) })
		if err != nil {
			return 0, fmt.Errorf("instance %s does not know organisation %s: %w", instance.ID, name, err)
		}
	}
	return seconds(time.Since(began)), nil
}

func (f *fleet) hasOrganisation(ctx context.Context, i *harness.Instance, organisation string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.Operators+"/operator/v1/fleet", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+f.OperatorSecret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var answer struct{ Fleet protocol.Fleet }
	if json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return false
	}
	_, ok := answer.Fleet.Organisations[protocol.OrganisationID(organisation)]
	return ok
}

// awaitTimeout limits each wait of the measurements.
const awaitTimeout = 60 * time.Second

func await(ctx context.Context, done func() bool) error {
	limit := time.Now().Add(awaitTimeout)
	for !done() {
		if time.Now().After(limit) {
			return fmt.Errorf("condition not met within %s", awaitTimeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollPeriod):
		}
	}
	return nil
}

// measureKeyWithdrawal withdraws a key and sends calls until every instance rejects
// it.
func measureKeyWithdrawal(ctx context.Context, opts Options, f *fleet) error {
	args := append([]string{"key", "create", organisation, "--output=json"}, f.OperatorFlags()...)
	out, err := f.Ctl(ctx, "", args...)
	if err != nil {
		return err
	}
	var created struct{ ID, Secret string }
	if err := json.Unmarshal([]byte(out), &created); err != nil {
		return err
	}
	callers := map[*harness.Instance]*harness.Caller{}
	for _, instance := range f.Instances {
		callers[instance] = harness.NewCaller(created.Secret, func() []string { return []string{instance.Callers} })
		if err := callers[instance].AwaitServed(ctx, model); err != nil {
			return err
		}
	}
	began := time.Now()
	if _, err := f.Ctl(ctx, "", "key", "withdraw", created.ID, "--instance="+f.Instances[0].Operators); err != nil {
		return err
	}
	for _, caller := range callers {
		err := await(ctx, func() bool {
			answer, err := caller.Post(ctx, "/v1/chat/completions", harness.ChatBody(model, "x", 1, false), nil)
			return err == nil && answer.Status == http.StatusUnauthorized
		})
		if err != nil {
			return err
		}
	}
	opts.print(Measure{Name: "key.withdrawn_s", Unit: "s", Now: seconds(time.Since(began)), Note: "instances=12"})
	return nil
}

// measureAppends counts the appends for a job, less those of an idle fleet in the
// same time.
func measureAppends(ctx context.Context, opts Options, f *fleet) error {
	const items = 20000
	idleBegan := time.Now()
	idleBefore, err := f.appends(ctx)
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	began := time.Now()
	before, err := f.appends(ctx)
	if err != nil {
		return err
	}
	idlePerSecond := float64(before-idleBefore) / seconds(began.Sub(idleBegan))
	opts.print(Measure{Name: "log.idle_appends_per_s", Unit: "1/s", Now: idlePerSecond, Note: "instances=12"})
	job, err := f.submit(ctx, "many", items, 1)
	if err != nil {
		return err
	}
	if err := f.awaitJob(ctx, job); err != nil {
		return err
	}
	after, err := f.appends(ctx)
	if err != nil {
		return err
	}
	spent := float64(after-before) - idlePerSecond*seconds(time.Since(began))
	// The baseline is one append for each item and step: input, claim, result and
	// completion.
	baseline := 4000.0
	opts.print(Measure{Name: "log.appends_per_1000_items", Unit: "1", Baseline: &baseline, Now: spent / items * 1000,
		Note: fmt.Sprintf("items=%d took_s=%s", items, number(seconds(time.Since(began))))})
	return nil
}

func (f *fleet) appends(ctx context.Context) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Addresses[domains[0]]+"/appends", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var count int64
	return count, json.NewDecoder(resp.Body).Decode(&count)
}

func (f *fleet) submit(ctx context.Context, name string, items, tokens int) (string, error) {
	var lines strings.Builder
	for n := range items {
		body := harness.ChatBody(model, fmt.Sprintf("%s item %d", name, n), tokens, false)
		fmt.Fprintf(&lines, `{"custom_id":"i%d","method":"POST","url":"/v1/chat/completions","body":%s}`+"\n", n, body)
	}
	path := filepath.Join(f.folder, "..", name+".jsonl")
	if err := os.WriteFile(path, []byte(lines.String()), 0o600); err != nil {
		return "", err
	}
	out, err := f.Ctl(ctx, f.secret, append([]string{"batch", "submit", path, "--output=json"}, f.CallerFlags()...)...)
	if err != nil {
		return "", err
	}
	var job struct{ ID string }
	return job.ID, json.Unmarshal([]byte(out), &job)
}

// jobLine holds the fields of a job that the measurements read.
type jobLine struct {
	Status        string
	RequestCounts struct{ Total, Completed, Failed int } `json:"request_counts"`
}

func (f *fleet) job(ctx context.Context, id string) (jobLine, error) {
	out, err := f.Ctl(ctx, f.secret, append([]string{"batch", "status", id, "--output=json"}, f.CallerFlags()...)...)
	if err != nil {
		return jobLine{}, err
	}
	var line jobLine
	return line, json.Unmarshal([]byte(out), &line)
}

func (f *fleet) awaitJob(ctx context.Context, id string) error {
	var last jobLine
	err := await(ctx, func() bool {
		line, err := f.job(ctx, id)
		last = line
		return err == nil && line.Status == "completed"
	})
	if err != nil {
		return fmt.Errorf("job %+v: %w", last, err)
	}
	return nil
}

// measureTakeover kills an instance that runs items of a job and waits until the
// job ends, including the items of the killed instance. The time is an upper bound
// of the takeover time: the job alone takes several seconds of it.
func measureTakeover(ctx context.Context, opts Options, f *fleet) error {
	const items = 40 * protocol.MaxChunkItems
	job, err := f.submit(ctx, "taken", items, 32)
	if err != nil {
		return err
	}
	killed, err := f.awaitBusy(ctx)
	if err != nil {
		return err
	}
	killed.Process.Kill()
	began := time.Now()
	if err := f.awaitJob(ctx, job); err != nil {
		return err
	}
	took := time.Since(began)
	if took < sessionTimeout {
		return fmt.Errorf("job ended %s after the kill, before the session could expire: no chunk was taken over", took)
	}
	opts.print(Measure{Name: "takeover_s", Unit: "s", Now: seconds(took), Note: "from=kill to=job_completed"})
	return nil
}

// sessionTimeout is the default of timings.expire. The chunks of a crashed instance
// cannot be taken over earlier.
const sessionTimeout = 8 * time.Second

// awaitBusy waits until the last instance has started items of the job.
func (f *fleet) awaitBusy(ctx context.Context) (*harness.Instance, error) {
	candidate := f.Instances[len(f.Instances)-1]
	before, err := candidate.Counter("headroom", "placed")
	if err != nil {
		return nil, err
	}
	err = await(ctx, func() bool {
		placed, err := candidate.Counter("headroom", "placed")
		return err == nil && placed > before
	})
	return candidate, err
}
