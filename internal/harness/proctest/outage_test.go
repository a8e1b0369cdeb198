package proctest

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/harness"
	"merlintiller/internal/protocol"
)

// The platform is paused for longer than a session lasts without renewal. Online
// calls must still be served, a new job must be rejected as not run, and claimed
// items must keep running. No session may be expired because of the outage, since
// all work would then start again.
func TestPlatformOutage(t *testing.T) {
	const items, tokens = 900, 100
	f := start(t, options{settings: longTimings})
	client := f.client(f.Instances[1], f.secret)
	file := f.upload(client, inputLines(3, 1))
	others := f.modelRuns()
	job := f.submit(client, items, tokens)
	f.awaitRuns(others + 250)
	before := f.sessions()
	require.NoError(t, f.Platform.Pause())
	f.awaitLog(f.Instances, false)
	runs := f.modelRuns()
	for n, instance := range f.Instances {
		prompt := fmt.Sprintf("leak %d", n)
		answer, err := f.call(instance, f.secret, prompt)
		require.NoError(t, err)
		require.True(t, answer.MatchesPrompt(prompt, callTokens, false), "%s", answer)
	}
	_, err := f.create(client, file)
	var refusal *openai.Error
	require.True(t, errors.As(err, &refusal), "%v", err)
	require.Equal(t, string(protocol.CodePlatformDown), refusal.Code)
	require.Equal(t, string(protocol.NotRun), refusal.Response.Header.Get("X-Run-State"))
	require.NotEmpty(t, refusal.Response.Header.Get("Retry-After"))
	f.awaitRuns(runs + 20)
	require.NoError(t, harness.Sleep(f.ctx, outage))
	require.NoError(t, f.Platform.Continue())
	f.awaitLog(f.Instances, true)
	f.requireComplete(client, job, items, tokens)
	require.Equal(t, before, f.sessions())
}

// outage is longer than a session with longTimings lasts without a renewal.
const outage = 6 * time.Second

func (f *fleet) sessions() map[protocol.InstanceID]string {
	f.t.Helper()
	out := map[protocol.InstanceID]string{}
	for _, instance := range f.Instances {
		f.poll(func(context.Context) (bool, error) {
			id, mayHold, err := f.session(instance)
			out[instance.ID] = id
			return err == nil && mayHold, err
		})
	}
	return out
}

// awaitLog waits until the instances report the log as reachable or unreachable.
func (f *fleet) awaitLog(instances []*harness.Instance, up bool) {
	f.t.Helper()
	for _, instance := range instances {
		f.poll(func(ctx context.Context) (bool, error) {
			own, err := f.OwnStatus(ctx, instance)
			return err == nil && own.LogUp == up, err
		})
	}
}

// modelRuns returns the number of calls that the model targets executed.
func (f *fleet) modelRuns() int {
	f.t.Helper()
	sum := 0
	for _, one := range f.Targets {
		if one.Listed.Service != model {
			continue
		}
		runs, err := f.Executions(f.ctx, one)
		require.NoError(f.t, err)
		for _, count := range runs.ByCall {
			sum += count
		}
	}
	return sum
}

func (f *fleet) awaitRuns(atLeast int) {
	f.t.Helper()
	f.poll(func(context.Context) (bool, error) { return f.modelRuns() >= atLeast, nil })
}
