package proctest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/harness"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/target"
)

// An instance is paused for longer than its session lasts, for example by a live
// migration of its machine. When it resumes, it holds results of items that other
// instances have completed meanwhile. Each item must have one result only.
func TestPausePastSessionLeavesOneResultPerItem(t *testing.T) {
	const items, tokens = 240, 100
	f := start(t, options{settings: shortTimings})
	paused, other := f.Instances[0], f.Instances[1]
	before, _, err := f.session(paused)
	require.NoError(t, err)
	job := f.submit(f.client(paused, f.secret), items, tokens)
	f.awaitClaim(paused)
	require.NoError(t, paused.Process.Pause())
	f.awaitExpired(other, paused.ID)
	require.NoError(t, paused.Process.Continue())
	f.poll(func(context.Context) (bool, error) {
		now, mayHold, err := f.session(paused)
		return err == nil && mayHold && now != before, err
	})
	f.awaitServed(paused, f.secret)
	f.requireComplete(f.client(other, f.secret), job, items, tokens)
	f.requireComplete(f.client(paused, f.secret), job, items, tokens)
}

// awaitClaim waits until an instance has won a claim on chunks.
func (f *fleet) awaitClaim(i *harness.Instance) {
	f.t.Helper()
	f.poll(func(context.Context) (bool, error) {
		won, err := i.Counter("batch", "claims_won")
		return err == nil && won > 0, err
	})
}

// awaitExpired waits until an instance reports the session of another instance as
// ended.
func (f *fleet) awaitExpired(at *harness.Instance, paused protocol.InstanceID) {
	f.t.Helper()
	f.poll(func(ctx context.Context) (bool, error) {
		status, err := f.Status(ctx, at)
		if err != nil {
			return false, err
		}
		for _, silent := range status.Unreached {
			if silent.Instance == paused {
				return !silent.SessionOpen, nil
			}
		}
		return false, nil
	})
}

// An instance is paused while a filing, a non-idempotent call, is in flight through
// it. The caller resends the filing through another instance. The filing must run
// once, because a second run is billed again. No instance may answer "not run",
// because the caller would then file it again under another key.
func TestResendWhileTheFirstInstanceIsPausedRunsOnce(t *testing.T) {
	f := start(t, options{settings: shortTimings, plainArgs: []string{"--call-time=1500ms"}})
	paused, other := f.Instances[0], f.Instances[1]
	body := []byte(`{"filing":7}`)
	header := map[string]string{"Idempotency-Key": "filing-7"}
	post := func(i *harness.Instance) (*harness.Answer, error) {
		return f.callerFor(i, f.secret).Post(f.ctx, "/v1/services/"+filing+"/file", body, header)
	}
	first := make(chan *harness.Answer, 1)
	go func() {
		answer, err := post(paused)
		if err != nil {
			answer = &harness.Answer{RunState: string(protocol.MayHaveRun)}
		}
		first <- answer
	}()
	f.awaitExecutions(body, 1)
	require.NoError(t, paused.Process.Pause())
	second := f.finalAnswer(func() (*harness.Answer, error) { return post(other) })
	f.awaitExpired(other, paused.ID)
	require.NoError(t, paused.Process.Continue())
	answers := []*harness.Answer{second, <-first}
	f.awaitServed(paused, f.secret)
	answers = append(answers, f.finalAnswer(func() (*harness.Answer, error) { return post(paused) }))
	for _, answer := range answers {
		require.NotEqual(t, string(protocol.NotRun), answer.RunState, "the call ran: %s", answer)
	}
	require.Equal(t, 1, f.executions(body))
}

// finalAnswer resends a call as long as the answer has a Retry-After header.
func (f *fleet) finalAnswer(post func() (*harness.Answer, error)) (last *harness.Answer) {
	f.t.Helper()
	f.poll(func(context.Context) (bool, error) {
		answer, err := post()
		if err != nil {
			return false, err
		}
		last = answer
		return answer.RetryAfter == "", nil
	})
	return last
}

func (f *fleet) awaitExecutions(body []byte, want int) {
	f.t.Helper()
	f.poll(func(context.Context) (bool, error) { return f.executions(body) >= want, nil })
}

// executions returns how often the plain targets executed a call with a body.
func (f *fleet) executions(body []byte) int {
	f.t.Helper()
	sum := 0
	for _, one := range f.Targets {
		if one.Listed.Service != filing {
			continue
		}
		runs, err := f.Executions(f.ctx, one)
		require.NoError(f.t, err)
		sum += runs.ByBody[target.BodyKey(body)]
	}
	return sum
}

// refusalCode returns the error code of a refusal, or "" for another answer.
func refusalCode(answer *harness.Answer) protocol.Code {
	var reply struct {
		Error struct{ Code protocol.Code }
	}
	if answer.Status == http.StatusOK || json.Unmarshal(answer.Body, &reply) != nil {
		return ""
	}
	return reply.Error.Code
}

// shortSilence ends attempts whose target is silent for less time than a session lasts.
const shortSilence = shortTimings + `
calls:
  first_byte_timeout: 1s
  stall_timeout: 1s
`

// Guards against an instance that cancels the streams of all its callers after a pause,
// since it takes its own pause for silence of the targets.
func TestPausedInstanceKeepsStreamsOfItsCallers(t *testing.T) {
	const callers, tokens = 8, 100
	f := start(t, options{settings: shortSilence, modelArgs: []string{"--token-time=10ms"}})
	paused := f.Instances[0]
	retriesBefore, executionsBefore := f.retries(paused), f.modelExecutions()
	answers := make(chan error, callers)
	for n := range callers {
		go func() {
			prompt := fmt.Sprint("riser ", n)
			answer, err := f.callerFor(paused, f.secret).Post(f.ctx, "/v1/chat/completions", harness.ChatBody(model, prompt, tokens, true), nil)
			if err == nil && !answer.MatchesPrompt(prompt, tokens, true) {
				err = errors.New(answer.String())
			}
			answers <- err
		}()
	}
	f.poll(func(context.Context) (bool, error) { return f.modelExecutions() >= executionsBefore+callers, nil })
	require.NoError(t, paused.Process.Pause())
	f.awaitExpired(f.Instances[1], paused.ID)
	require.NoError(t, paused.Process.Continue())
	for range callers {
		require.NoError(t, <-answers)
	}
	require.Equal(t, retriesBefore, f.retries(paused))
}

// retries returns the number of attempts of an instance that followed a failed one.
func (f *fleet) retries(i *harness.Instance) float64 {
	f.t.Helper()
	_, err := i.Counter("online", "ok")
	require.NoError(f.t, err)
	// The counter does not exist before the first retry.
	count, _ := i.Counter("online", "retries")
	return count
}

// modelExecutions returns the number of calls that began at the model targets.
func (f *fleet) modelExecutions() (count int) {
	f.t.Helper()
	for _, one := range f.Targets {
		if one.Listed.Service != model {
			continue
		}
		executions, err := f.Executions(f.ctx, one)
		require.NoError(f.t, err)
		count += len(executions.ByCall)
	}
	return count
}
