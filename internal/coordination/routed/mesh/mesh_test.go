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

	"merlintiller/internal/coordination/routed/quarantine"
	"merlintiller/internal/coordination/routed/quota"
)

// memoryNetwork connects the meshes of a fleet in memory, by address.
type memoryNetwork struct {
	mu     sync.Mutex
	meshes map[string]*Mesh
	// lost decides whether the next message or answer is lost.
	lost func() bool
	// calls counts the messages sent, including lost ones.
	calls int
}

var errLost = errors.New("message lost")

func (network *memoryNetwork) Call(_ context.Context, address, method string, args, reply any) error {
	network.mu.Lock()
	network.calls++
	to, lostOut, lostBack := network.meshes[address], network.lost(), network.lost()
	network.mu.Unlock()
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

// fakeDelegate is a Delegate that records the counts it receives.
type fakeDelegate struct {
	mu         sync.Mutex
	admitted   quota.Counts
	received   map[string]quota.Counts
	heartbeats int
}

func (d *fakeDelegate) Versions() Versions { return Versions{} }

func (d *fakeDelegate) FillHeartbeat(heartbeat *Heartbeat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	heartbeat.Admitted = maps.Clone(d.admitted)
}

func (d *fakeDelegate) SnapshotSince(SnapshotArgs) SnapshotReply        { return SnapshotReply{} }
func (d *fakeDelegate) ApplySnapshot(SnapshotReply)                     {}
func (d *fakeDelegate) PeerSilent(Instance)                             {}
func (d *fakeDelegate) PeerDown(string)                                 {}
func (d *fakeDelegate) SetDomainSilent(string, bool)                    {}
func (d *fakeDelegate) PeerDiscovered(string)                           {}
func (d *fakeDelegate) QuarantineSince(uint64, bool) *quarantine.Report { return nil }
func (d *fakeDelegate) QuarantineReceived(string, *quarantine.Report)   {}
func (d *fakeDelegate) FleetKnown()                                     {}
func (d *fakeDelegate) Ticked(time.Duration)                            {}
func (d *fakeDelegate) PeersConfirmedAlive([]quota.Liveness)            {}

func (d *fakeDelegate) HeartbeatReceived(heartbeat Heartbeat, _ time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heartbeats++
	if heartbeat.Whole || d.received[heartbeat.From.Name] == nil {
		d.received[heartbeat.From.Name] = quota.Counts{}
	}
	maps.Copy(d.received[heartbeat.From.Name], heartbeat.Admitted)
}

func (d *fakeDelegate) admit(org string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admitted[org]++
}

// fleet runs perDomain instances in each of two failure domains until the end of the test.
// Each has the first instance as its seed.
func fleet(ctx context.Context, perDomain int, network *memoryNetwork) []*fakeDelegate {
	var delegates []*fakeDelegate
	network.meshes = map[string]*Mesh{}
	seed := instance("a", 0).Address
	for _, domain := range []string{"a", "b"} {
		for n := range perDomain {
			self := instance(domain, n)
			m := New(Config{Self: self, Seeds: []string{seed}, Caller: network, Logger: log.NewNopLogger()})
			delegate := &fakeDelegate{admitted: quota.Counts{}, received: map[string]quota.Counts{}}
			m.SetDelegate(delegate)
			network.meshes[self.Address] = m
			delegates = append(delegates, delegate)
		}
	}
	for _, m := range network.meshes {
		go func() { _ = m.Serve(ctx) }()
	}
	return delegates
}

func neverLost() bool { return false }

func TestInstancesFindEachOtherThroughOneSeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &memoryNetwork{lost: neverLost}
		fleet(t.Context(), 6, network)
		sleep(3 * time.Second)
		synctest.Wait()
		for _, m := range network.meshes {
			require.Len(t, m.Peers(), 11)
			for _, p := range m.Peers() {
				require.Equal(t, Up, p.State)
			}
		}
	})
}

// Heartbeats carry only the counts that changed, and messages may be lost. If lost changes
// were not sent again, peers would assume fewer admitted requests than there were, and an
// organisation would exceed its rate.
func TestLostCountChangesAreResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random, losses := rand.New(rand.NewPCG(3, 4)), rand.New(rand.NewPCG(5, 6))
		network := &memoryNetwork{lost: func() bool { return losses.Float64() < 0.3 }}
		delegates := fleet(t.Context(), 3, network)
		for range 200 {
			delegates[random.IntN(len(delegates))].admit([]string{"x", "y", "z"}[random.IntN(3)])
			sleep(20 * time.Millisecond)
		}
		// Stops the losses, so that the last counts arrive.
		network.mu.Lock()
		network.lost = neverLost
		network.mu.Unlock()
		sleep(fullCountsEvery * crossDomainFactor * sameDomainInterval)
		synctest.Wait()
		for n, from := range delegates {
			name := []string{"a-0", "a-1", "a-2", "b-0", "b-1", "b-2"}[n]
			for other, to := range delegates {
				if other != n {
					require.Equal(t, from.admitted, to.received[name], "%s at %d", name, other)
				}
			}
		}
	})
}

// Guards against message rates that grow with the size of the fleet. If each instance
// exchanged heartbeats with every other one in a fleet of some hundred instances, it would
// spend its processor time on messages alone.
func TestMessagesOfAnInstanceDoNotGrowWithTheFleet(t *testing.T) {
	perSecond := func(perDomain int) float64 {
		var rate float64
		synctest.Test(t, func(t *testing.T) {
			network := &memoryNetwork{lost: neverLost}
			fleet(t.Context(), perDomain, network)
			sleep(5 * time.Second)
			network.mu.Lock()
			before := network.calls
			network.mu.Unlock()
			sleep(10 * time.Second)
			network.mu.Lock()
			defer network.mu.Unlock()
			rate = float64(network.calls-before) / 10 / float64(2*perDomain)
		})
		return rate
	}
	require.Less(t, perSecond(24), perSecond(8))
	require.Less(t, perSecond(45), 20.0)
}

func sleep(d time.Duration) { <-time.After(d) }
