package mesh

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/quota"
)

// wire joins the meshes of a fleet in memory, by address.
type wire struct {
	mu     sync.Mutex
	meshes map[string]*Mesh
	// lost says whether a message or its answer is lost.
	lost func() bool
	// calls counts the messages sent, lost ones too.
	calls int
}

var errLost = errors.New("lost")

func (w *wire) Call(_ context.Context, address, method string, args, reply any) error {
	w.mu.Lock()
	w.calls++
	to, lostOut, lostBack := w.meshes[address], w.lost(), w.lost()
	w.mu.Unlock()
	if to == nil || lostOut {
		return errLost
	}
	var err error
	switch method {
	case methodExchange:
		err = to.Receiver().Exchange(args.(*Heartbeat), reply.(*Heartbeat))
	case methodSnapshot:
		err = to.Receiver().Snapshot(args.(*SnapshotArgs), reply.(*SnapshotReply))
	}
	if lostBack {
		return errLost
	}
	return err
}

// told is a Local that keeps the counts it hears.
type told struct {
	mu   sync.Mutex
	own  quota.Counts
	of   map[string]quota.Counts
	seen int
}

func (l *told) Versions() Versions { return Versions{} }

func (l *told) FillHeartbeat(beat *Heartbeat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	beat.Admitted = maps.Clone(l.own)
}

func (l *told) SnapshotSince(SnapshotArgs) SnapshotReply { return SnapshotReply{} }
func (l *told) ApplySnapshot(SnapshotReply)              {}
func (l *told) PeerSilent(Instance)              {}
func (l *told) PeerDown(string)                  {}
func (l *told) SetDomainSilent(string, bool)        {}
func (l *told) PeerDiscovered(string)                {}
func (l *told) PeersConfirmedAlive([]quota.Liveness)          {}

func (l *told) HeartbeatReceived(beat Heartbeat, _ time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen++
	if beat.Whole || l.of[beat.From.Name] == nil {
		l.of[beat.From.Name] = quota.Counts{}
	}
	maps.Copy(l.of[beat.From.Name], beat.Admitted)
}

func (l *told) admit(org string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own[org]++
}

// fleet runs so many instances in each of two domains until the test's end. Each
// knows the first one as its seed.
func fleet(ctx context.Context, perDomain int, w *wire) []*told {
	var locals []*told
	w.meshes = map[string]*Mesh{}
	seed := instance("a", 0).Address
	for _, domain := range []string{"a", "b"} {
		for n := range perDomain {
			self := instance(domain, n)
			m := New(Config{Self: self, Seeds: []string{seed}, Caller: w, Logger: log.NewNopLogger()})
			local := &told{own: quota.Counts{}, of: map[string]quota.Counts{}}
			m.SetDelegate(local)
			w.meshes[self.Address] = m
			locals = append(locals, local)
		}
	}
	for _, m := range w.meshes {
		go func() { _ = m.Serve(ctx) }()
	}
	return locals
}

func never() bool { return false }

func TestInstancesFindEachOtherThroughOneSeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &wire{lost: never}
		fleet(t.Context(), 6, w)
		pass(3 * time.Second)
		synctest.Wait()
		for _, m := range w.meshes {
			require.Len(t, m.Peers(), 11)
			for _, p := range m.Peers() {
				require.Equal(t, Up, p.State)
			}
		}
	})
}

// A message tells only the counts that changed, and messages get lost. If a lost
// change were never told again, the others would go on with less than was let
// in, and an organisation would get more than its rate.
func TestLostChangesOfCountsAreToldAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random, losses := rand.New(rand.NewPCG(3, 4)), rand.New(rand.NewPCG(5, 6))
		w := &wire{lost: func() bool { return losses.Float64() < 0.3 }}
		locals := fleet(t.Context(), 3, w)
		for range 200 {
			locals[random.IntN(len(locals))].admit([]string{"x", "y", "z"}[random.IntN(3)])
			pass(20 * time.Millisecond)
		}
		// Losses end, so that the last of the counts can be told.
		w.mu.Lock()
		w.lost = never
		w.mu.Unlock()
		pass(wholeEvery * farFactor * nearEvery)
		synctest.Wait()
		for n, from := range locals {
			name := []string{"a-0", "a-1", "a-2", "b-0", "b-1", "b-2"}[n]
			for other, to := range locals {
				if other != n {
					require.Equal(t, from.own, to.of[name], "%s at %d", name, other)
				}
			}
		}
	})
}

// The fleet grows to some hundred instances. If each told each other as often as
// in a small fleet, an instance would spend its processor on messages alone, and
// the share grows with every instance that is added.
func TestMessagesOfAnInstanceDoNotGrowWithTheFleet(t *testing.T) {
	perSecond := func(perDomain int) float64 {
		var rate float64
		synctest.Test(t, func(t *testing.T) {
			w := &wire{lost: never}
			fleet(t.Context(), perDomain, w)
			pass(5 * time.Second)
			w.mu.Lock()
			before := w.calls
			w.mu.Unlock()
			pass(10 * time.Second)
			w.mu.Lock()
			defer w.mu.Unlock()
			rate = float64(w.calls-before) / 10 / float64(2*perDomain)
		})
		return rate
	}
	require.Less(t, perSecond(24), perSecond(8))
	require.Less(t, perSecond(45), 20.0)
}

// pass lets time go by.
func pass(d time.Duration) { <-time.After(d) }
