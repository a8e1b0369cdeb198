package member

import (
	"context"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// replayedState is a LocalState of which only the sessions are used.
type replayedState struct {
	LocalState
	state *replica.State
}

func (s *replayedState) View(read func(*replica.State)) { read(s.state) }

// recordingCaller records the addresses that are called.
type recordingCaller struct{ addresses []string }

func (c *recordingCaller) Call(_ context.Context, address, _ string, _, _ any) error {
	c.addresses = append(c.addresses, address)
	return nil
}

// Guards against an instance that has read its peers' sessions and can't call them until its
// first round of heartbeats: for that time it would count them as silent.
func TestPeerIsCalledBeforeTheFirstHeartbeat(t *testing.T) {
	caller := &recordingCaller{}
	h := NewHeartbeats(Options{Instance: "a1", Domain: "a", Caller: caller, Logger: log.NewNopLogger()})
	require.Error(t, h.Call(t.Context(), "b1", "Limiter.Take", nil, nil), "no state is replayed")
	state := replica.New()
	h.Attach(&replayedState{state: state})
	require.Error(t, h.Call(t.Context(), "b1", "Limiter.Take", nil, nil), "the peer has no session")
	state.Apply(0, protocol.Frame{Records: []protocol.Record{{
		ID:          protocol.RecordID{Session: 1, Seq: 1},
		SessionOpen: &protocol.SessionOpen{Instance: "b1", Domain: "b", PeerAddress: "10.0.0.2:8002"},
	}}})
	require.NoError(t, h.Call(t.Context(), "b1", "Limiter.Take", nil, nil))
	require.Equal(t, []string{"10.0.0.2:8002"}, caller.addresses)
}
