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

// A key is stolen while its failure domain is cut off from the platform, and
// the operator withdraws it at the instance that can be reached. Whoever holds
// the key must be out there at once, also out of a stream that runs, and must
// not get in anywhere once the cut has ended.
func TestKeyWithdrawnInADomainThatIsCutOff(t *testing.T) {
	const tokens = 10
	f := start(t, options{settings: shortTimings})
	cut := f.Instances[0]
	stolen, id := f.createKey(organisation)
	f.awaitServed(cut, stolen)
	require.NoError(t, f.SetFaults(f.ctx, platformsrv.Faults{Cut: []string{string(cut.Domain)}}))
	f.awaitLog([]*harness.Instance{cut}, false)
	for _, one := range f.Targets[:3] {
		require.NoError(t, f.SetTargetFaults(f.ctx, one, target.Faults{HoldAfter: 3}))
	}
	runs := f.modelRuns()
	streamed := make(chan *harness.Answer, 2)
	for _, secret := range []string{stolen, f.secret} {
		go func() {
			body := harness.ChatBody(model, "who is on call", tokens, true)
			answer, _ := f.at(cut, secret).Post(f.ctx, "/v1/chat/completions", body, nil)
			streamed <- answer
		}()
	}
	f.awaitRuns(runs + 2)
	f.ctl("key", "withdraw", id, "--instance="+cut.Operators)
	answer, err := f.ask(cut, stolen, "let me in")
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, answer.Status, "%s", answer)
	require.Equal(t, protocol.CodeKeyWithdrawn, refusalCode(answer))
	ended := <-streamed
	require.False(t, ended.Whole, "the stream of the withdrawn key goes on: %s", ended)
	for _, one := range f.Targets[:3] {
		require.NoError(t, f.SetTargetFaults(f.ctx, one, target.Faults{}))
	}
	other := <-streamed
	require.True(t, other.IsOwnAnswer("who is on call", tokens, true), "%s", other)
	require.NoError(t, f.SetFaults(f.ctx, platformsrv.Faults{}))
	f.awaitLog(f.Instances, true)
	for _, instance := range f.Instances {
		f.poll(func(context.Context) (bool, error) {
			answer, err := f.ask(instance, stolen, "let me in")
			return err == nil && refusalCode(answer) == protocol.CodeKeyWithdrawn, err
		})
		f.awaitServed(instance, f.secret)
	}
}
