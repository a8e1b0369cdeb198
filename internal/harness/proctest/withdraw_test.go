package proctest

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/harness"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/platformsrv"
	"merlintiller/internal/standin/target"
)

// A key is stolen while a failure domain is isolated from the platform, and the
// operator withdraws the key at the instance of this domain. The instance must
// reject the key at once and end its running streams. When the isolation has ended,
// every instance must reject the key.
func TestKeyWithdrawnInIsolatedDomain(t *testing.T) {
	const tokens = 10
	f := start(t, options{settings: shortTimings})
	isolated := f.Instances[0]
	stolen, id := f.createKey(organisation)
	f.awaitServed(isolated, stolen)
	require.NoError(t, f.SetFaults(f.ctx, platformsrv.Faults{Cut: []string{string(isolated.Domain)}}))
	f.awaitLog([]*harness.Instance{isolated}, false)
	for _, one := range f.Targets[:3] {
		require.NoError(t, f.SetTargetFaults(f.ctx, one, target.Faults{HoldAfter: 3}))
	}
	runs := f.modelRuns()
	streamed := make(chan *harness.Answer, 2)
	for _, secret := range []string{stolen, f.secret} {
		go func() {
			body := harness.ChatBody(model, "who is on call", tokens, true)
			answer, _ := f.callerFor(isolated, secret).Post(f.ctx, "/v1/chat/completions", body, nil)
			streamed <- answer
		}()
	}
	f.awaitRuns(runs + 2)
	f.ctl("key", "withdraw", id, "--instance="+isolated.Operators)
	answer, err := f.call(isolated, stolen, "let me in")
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, answer.Status, "%s", answer)
	require.Equal(t, protocol.CodeKeyWithdrawn, refusalCode(answer))
	ended := <-streamed
	require.False(t, ended.Complete, "the stream of the withdrawn key was not ended: %s", ended)
	for _, one := range f.Targets[:3] {
		require.NoError(t, f.SetTargetFaults(f.ctx, one, target.Faults{}))
	}
	other := <-streamed
	require.True(t, other.MatchesPrompt("who is on call", tokens, true), "%s", other)
	require.NoError(t, f.SetFaults(f.ctx, platformsrv.Faults{}))
	f.awaitLog(f.Instances, true)
	for _, instance := range f.Instances {
		f.poll(func(context.Context) (bool, error) {
			answer, err := f.call(instance, stolen, "let me in")
			return err == nil && refusalCode(answer) == protocol.CodeKeyWithdrawn, err
		})
		f.awaitServed(instance, f.secret)
	}
}
