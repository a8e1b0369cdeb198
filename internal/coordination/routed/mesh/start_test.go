package mesh

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/quota"
)

// supersedingCaller answers each message with the start of a later incarnation, once released.
type supersedingCaller struct {
	release    chan struct{}
	superseded int64
}

func (c *supersedingCaller) Call(_ context.Context, _, _ string, _, reply any) error {
	<-c.release
	if heartbeat, ok := reply.(*Heartbeat); ok {
		*heartbeat = Heartbeat{From: instance("b", 1), Seq: 1, Superseded: c.superseded}
	}
	return nil
}

func newSupersededMesh(caller *supersedingCaller, start int64) *Mesh {
	self := instance("a", 0)
	self.Start = start
	m := New(Config{Self: self, Caller: caller, Logger: log.NewNopLogger()})
	m.SetDelegate(&fakeDelegate{admitted: quota.Counts{}, received: map[string]quota.Counts{}})
	return m
}

// Guards against two incarnations with the same start: the previous one, whose process is ending,
// learns of the next one and takes a later start than it. Peers would then ignore the heartbeats
// and counts of the next one, whose sequence numbers are smaller.
func TestEndingIncarnationKeepsItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &supersedingCaller{release: make(chan struct{}), superseded: 1_001}
		m := newSupersededMesh(caller, 1_000)
		ctx, stop := context.WithCancel(t.Context())
		go m.exchange(ctx, instance("b", 1))
		synctest.Wait()
		stop()
		close(caller.release)
		synctest.Wait()
		require.EqualValues(t, 1_000, m.Self().Start)
		require.Empty(t, m.Peers(), "the answer is not applied")
	})
}

// Guards against a start that is raised again and again: an answer to a message from before the
// start was raised names the raised one.
func TestOwnStartIsNotRaisedAgain(t *testing.T) {
	m := newSupersededMesh(nil, 10)
	m.links["b:1"] = &link{ackedCounts: quota.Counts{"x": 1}}
	m.raiseStart(1_000)
	require.EqualValues(t, 1_001, m.Self().Start)
	require.Nil(t, m.links["b:1"].ackedCounts, "peers drop the counts of the earlier start")
	m.raiseStart(1_001)
	m.raiseStart(1_000)
	require.EqualValues(t, 1_001, m.Self().Start)
	m.raiseStart(1_002)
	require.EqualValues(t, 1_003, m.Self().Start)
}

// Guards against counts that a peer learns seconds late: the answer to its message overtakes the
// message that carries them, which the peer then ignores.
func TestCountsAreRepeatedUntilMessageIsAnswered(t *testing.T) {
	caller := &supersedingCaller{release: make(chan struct{})}
	close(caller.release)
	m := newSupersededMesh(caller, 1_000)
	delegate := m.delegate.(*fakeDelegate)
	peer := instance("b", 1)
	m.exchange(t.Context(), peer)
	answered, _ := m.heartbeatFor(peer, true)
	require.Empty(t, answered.Admitted)

	delegate.admit("x")
	m.heartbeatAt = time.Time{}
	message, _ := m.heartbeatFor(peer, false)
	answer, _ := m.heartbeatFor(peer, true)
	require.Greater(t, answer.Seq, message.Seq)
	require.Equal(t, quota.Counts{"x": 1}, message.Admitted)
	require.Equal(t, quota.Counts{"x": 1}, answer.Admitted, "it may overtake the message")

	m.exchange(t.Context(), peer)
	next, _ := m.heartbeatFor(peer, false)
	require.Empty(t, next.Admitted)
	require.False(t, next.Whole)
}
