package proctest

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/harness"
	"merlintiller/internal/protocol"
)

const (
	model        = "tiller-reports"
	filing       = "report-filing"
	organisation = "hollister-field"
	// testTimeout ends a test that waits for a condition that is never met. It is
	// far above the time that any condition takes, also on a busy machine.
	testTimeout = time.Minute
)

var domains = []protocol.Domain{"pnw-sea", "pnw-pdx", "pnw-spk"}

// configuration is the fleet configuration. Organisation tacoma-harbor is limited
// to one request per second.
const configuration = `
domains:
  - {domain: pnw-sea, region: pnw, share: 1}
  - {domain: pnw-pdx, region: pnw, share: 1}
  - {domain: pnw-spk, region: pnw, share: 1}
services:
  - {name: tiller-reports, kind: model, repeatable: true, slots: 16, longest_order: 2s}
  - {name: report-filing, kind: plain, repeatable: false, slots: 8}
models:
  - {name: tiller-reports, service: tiller-reports}
organisations:
  - {id: hollister-field, rate: 3000, burst: 9000}
  - {id: tacoma-harbor, rate: 1, burst: 1}
`

// shortTimings holds settings with which a session expires after 2 s.
const shortTimings = `
timings:
  renew: 300ms
  hold: 1s
  expire: 2s
  stagger: 500ms
  heartbeat: 200ms
  peer_silent: 600ms
  log_wait: 300ms
  log_down_after: 900ms
  platform_timeout: 1s
  list_poll: 200ms
  load_poll: 200ms
  drain_notice: 300ms
limiter:
  renewal_late: 600ms
`

// longTimings holds settings for tests in which no session may expire. The session
// outlasts the delays that a busy machine causes for a process.
const longTimings = `
timings:
  renew: 500ms
  hold: 3s
  expire: 5s
  log_wait: 300ms
  log_down_after: 900ms
  platform_timeout: 1s
  list_poll: 200ms
  drain_notice: 300ms
limiter:
  renewal_late: 1s
`

// fleet is a running fleet with the configuration in force and an API key.
type fleet struct {
	*harness.Fleet
	t      *testing.T
	ctx    context.Context
	secret string
}

type options struct {
	settings string
	// modelArgs and plainArgs hold additional flags of the targets.
	modelArgs, plainArgs []string
}

// start starts one instance and one model target in each of three failure domains,
// and one plain target.
func start(t *testing.T, opts options) *fleet {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	running, err := harness.StartFleet(ctx, harness.Options{
		Dir: t.TempDir(), Bin: programs, Domains: domains, PerDomain: 1,
		Targets: []harness.TargetGroup{
			{Service: model, Kind: protocol.KindModel, Count: 3, Args: opts.modelArgs},
			{Service: filing, Kind: protocol.KindPlain, Count: 1, Args: opts.plainArgs},
		},
		PlatformArgs: []string{"--list-lag=100ms"},
		Settings:     opts.settings,
	})
	require.NoError(t, err)
	t.Cleanup(running.Kill)
	f := &fleet{Fleet: running, t: t, ctx: ctx}
	t.Cleanup(f.logDiagnostics)
	f.configure()
	f.secret, _ = f.createKey(organisation)
	f.awaitServing()
	return f
}

func (f *fleet) configure() {
	dir := f.t.TempDir()
	require.NoError(f.t, os.WriteFile(filepath.Join(dir, "10-all.yaml"), []byte(configuration), 0o600))
	f.ctl(append([]string{"config", "apply", dir}, f.OperatorFlags()...)...)
}

// ctl runs tillerctl, which must succeed.
func (f *fleet) ctl(args ...string) string {
	f.t.Helper()
	out, err := f.Ctl(f.ctx, f.secret, args...)
	require.NoError(f.t, err)
	return out
}

func (f *fleet) createKey(of string) (secret, id string) {
	out := f.ctl(append([]string{"key", "create", of, "--output=json"}, f.OperatorFlags()...)...)
	var created struct{ ID, Secret string }
	require.NoError(f.t, json.Unmarshal([]byte(out), &created))
	return created.Secret, created.ID
}

// callerFor returns a caller that uses one instance only.
func (f *fleet) callerFor(i *harness.Instance, secret string) *harness.Caller {
	return harness.NewCaller(secret, func() []string { return []string{i.Callers} })
}

// awaitServing waits until every instance knows targets and accepts the key.
func (f *fleet) awaitServing() {
	for _, instance := range f.Instances {
		f.awaitServed(instance, f.secret)
	}
}

func (f *fleet) awaitServed(i *harness.Instance, secret string) {
	f.t.Helper()
	f.poll(func(ctx context.Context) (bool, error) {
		answer, err := f.call(i, secret, "ready?")
		return err == nil && answer.MatchesPrompt("ready?", callTokens, false), err
	})
}

// callTokens is the length in tokens of the answer to a short call.
const callTokens = 2

// call sends a short call to an instance.
func (f *fleet) call(i *harness.Instance, secret, prompt string) (*harness.Answer, error) {
	body := harness.ChatBody(model, prompt, callTokens, false)
	return f.callerFor(i, secret).Post(f.ctx, "/v1/chat/completions", body, nil)
}

func (f *fleet) poll(check func(context.Context) (bool, error)) {
	f.t.Helper()
	require.NoError(f.t, harness.Poll(f.ctx, check))
}

// session returns the current session of an instance, and whether the instance may
// do exclusive work.
func (f *fleet) session(i *harness.Instance) (id string, mayHold bool, err error) {
	own, err := f.OwnStatus(f.ctx, i)
	return own.Session, own.MayHold, err
}
