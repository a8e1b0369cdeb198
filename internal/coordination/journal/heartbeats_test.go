package journal

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/member"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/memlog"
	"merlintiller/internal/state/replica"
)

// network carries calls between instances of one test.
type network struct {
	mu    sync.Mutex
	peers map[string]*member.Peer
	cut   map[string]bool
}

func newNetwork() *network {
	return &network{peers: map[string]*member.Peer{}, cut: map[string]bool{}}
}

// setCut takes an address off the network, or back onto it.
func (n *network) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

func (n *network) reach(from, to string) (*member.Peer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	peer, ok := n.peers[to]
	if !ok || n.cut[from] || n.cut[to] {
		return nil, errors.New("connection refused")
	}
	return peer, nil
}

type caller struct {
	network *network
	from    string
}

func (c caller) Call(_ context.Context, address, _ string, args, reply any) error {
	peer, err := c.network.reach(c.from, address)
	if err != nil {
		return err
	}
	switch args := args.(type) {
	case *member.Beat:
		return peer.Heartbeat(args, reply.(*member.Beat))
	case *member.SnapshotArgs:
		return peer.Snapshot(args, reply.(*member.SnapshotReply))
	}
	return errors.New("unknown method")
}

// startPeer runs an instance that exchanges heartbeats.
func startPeer(t *testing.T, stream external.Log, network *network, name string, domain protocol.Domain, adjust ...func(*Options)) *node {
	t.Helper()
	address := name + ":7000"
	events := &bytes.Buffer{}
	heartbeats := member.NewHeartbeats(member.Options{
		Logger:   log.NewLogfmtLogger(log.NewSyncWriter(events)),
		Instance: protocol.InstanceID(name),
		Domain:   domain,
		Address:  address,
		Seeds:    []string{"a:7000", "b:7000", "c:7000"},
		Caller:   caller{network: network, from: address},
	})
	adjust = append(adjust, func(o *Options) {
		o.Domain = domain
		o.Snapshots = heartbeats
	})
	n := startNode(t, stream, name, adjust...)
	n.events = events
	heartbeats.Attach(n.Journal)
	network.mu.Lock()
	network.peers[address] = heartbeats.Receiver()
	network.mu.Unlock()
	n.heartbeats = heartbeats
	n.run(heartbeats)
	return n
}

func organisation(id protocol.OrganisationID, rate float64) protocol.FleetObject {
	return protocol.FleetObject{Organisation: &protocol.Organisation{ID: id, Rate: rate, Burst: 1}}
}

func keyOf(id protocol.KeyID, org protocol.OrganisationID, digit string) protocol.FleetObject {
	hash := ""
	for range 64 {
		hash += digit
	}
	return protocol.FleetObject{Key: &protocol.Key{ID: id, Organisation: org, SHA256: hash}}
}

func change(id string, basedOn protocol.Offset, set ...protocol.FleetObject) protocol.Record {
	return protocol.Record{FleetChange: &protocol.FleetChange{ChangeID: id, BasedOn: basedOn, Set: set, Operator: "op"}}
}

// A failure domain loses the platform but not its neighbours. An operator
// withdraws a key and changes a rate through the log. Without help the domain
// would let the withdrawn key in until its way to the platform is back.
func TestConfigurationReachesADomainCutOffFromThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, network := memlog.New(memlog.Options{}), newNetwork()
		a := startPeer(t, log, network, "a", "pnw-sea")
		b := startPeer(t, log, network, "b", "pnw-pdx")
		a.ready()
		b.ready()
		require.Equal(t, protocol.Accepted, a.put(change("1", protocol.NoOffset, organisation("o", 1), keyOf("k", "o", "1"))))
		await(t, 2*time.Second, "key known", func() bool { return b.KeyActive("k") })
		b.link.set(down)
		pass(5 * time.Second)
		require.False(t, b.LogUp())
		require.Equal(t, protocol.Accepted, a.put(protocol.Record{KeyWithdraw: &protocol.KeyWithdraw{Key: "k"}}))
		require.Equal(t, protocol.Accepted, a.put(change("2", a.Fleet().Version, organisation("o", 5))))
		await(t, 5*time.Second, "withdrawal and rate at b", func() bool {
			return !b.KeyActive("k") && b.Fleet().Organisations["o"].Rate == 5
		})
	})
}

// The whole platform is away, and an operator hands a withdrawal to one
// instance of the domain directly. The caller must be shut out at the other
// instances too, and stay so when the log is back.
func TestKeyWithdrawnWithoutTheLogStaysWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, network := memlog.New(memlog.Options{}), newNetwork()
		a := startPeer(t, log, network, "a", "pnw-sea")
		b := startPeer(t, log, network, "b", "pnw-sea")
		a.ready()
		b.ready()
		require.Equal(t, protocol.Accepted, a.put(change("1", protocol.NoOffset, organisation("o", 1), keyOf("k", "o", "1"))))
		log.SetFault(down)
		pass(5 * time.Second)
		a.WithdrawLocally("k", "op")
		require.False(t, a.KeyActive("k"), "withdrawn at once where the operator asked")
		await(t, 2*time.Second, "withdrawal at b", func() bool { return !b.KeyActive("k") })
		log.SetFault(nil)
		await(t, 15*time.Second, "withdrawal in the log", func() bool { return len(a.Tombstones())+len(b.Tombstones()) == 0 })
		c := startPeer(t, log, network, "c", "pnw-spk")
		c.ready()
		require.True(t, c.Fleet().Keys["k"].Withdrawn)
		require.Equal(t, protocol.Accepted, a.put(change("2", a.Fleet().Version, keyOf("k", "o", "1"))))
		require.False(t, a.KeyActive("k"), "a later change revived the key")
	})
}

// An instance is replaced while the platform's log is down. It has no disk, so
// all it can learn is what its neighbours know; it serves configuration but
// must not hold anything.
func TestStartFromAPeerWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, network := memlog.New(memlog.Options{}), newNetwork()
		a := startPeer(t, log, network, "a", "pnw-sea")
		a.ready()
		require.Equal(t, protocol.Accepted, a.put(change("1", protocol.NoOffset, organisation("o", 1))))
		log.SetFault(down)
		pass(10 * time.Second)
		b := startPeer(t, log, network, "b", "pnw-sea")
		await(t, 10*time.Second, "configuration from a", func() bool { return b.Fleet().Organisations["o"].Rate == 1 })
		require.Zero(t, b.Session())
		require.False(t, b.MayHold())
		require.Equal(t, protocol.NotRun, b.Submit(t.Context(), claim("r", protocol.NoOffset)).Run)
		log.SetFault(nil)
		b.ready()
	})
}

// Two instances start at the same time while the log is down. Neither knows
// anything. If one took the other's empty state, both would serve without any
// key being known and later disagree with the log.
func TestInstancesThatStartTogetherTakeNothingFromEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, network := memlog.New(memlog.Options{}), newNetwork()
		log.SetFault(down)
		a := startPeer(t, log, network, "a", "pnw-sea")
		b := startPeer(t, log, network, "b", "pnw-sea")
		pass(30 * time.Second)
		require.False(t, a.isLoaded())
		require.False(t, b.isLoaded())
		require.Contains(t, a.Problem(), "can't start")
		log.SetFault(nil)
		a.ready()
		b.ready()
	})
}

// Other instances are listed with the own failure domain first, and one that
// no longer answers shows as silent, though its session is still open.
func TestPeersAreListedWithTheirSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, network := memlog.New(memlog.Options{}), newNetwork()
		a := startPeer(t, log, network, "a", "pnw-sea")
		b := startPeer(t, log, network, "b", "pnw-pdx")
		c := startPeer(t, log, network, "c", "pnw-sea")
		for _, n := range []*node{a, b, c} {
			n.ready()
		}
		pass(3 * time.Second)
		defer func() {
			a.kill()
			require.NotContains(t, a.events.String(), "replica_diverged")
		}()
		list := a.heartbeats.List()
		require.Len(t, list, 2)
		require.EqualValues(t, "c", list[0].Instance)
		require.EqualValues(t, "b", list[1].Instance)
		require.True(t, list[0].Reachable)
		network.setCut("c:7000", true)
		pass(5 * time.Second)
		require.False(t, a.heartbeats.List()[0].Reachable)
		require.Error(t, a.heartbeats.Call(t.Context(), "c", member.MethodHeartbeat, &member.Beat{}, &member.Beat{}))
		require.NoError(t, a.heartbeats.Call(t.Context(), "b", member.MethodHeartbeat, &member.Beat{}, &member.Beat{}))
	})
}

// Readers index the keys once for each configuration they are given. If every
// renewal in the stream gave a new one, a withdrawal that waits for the log
// would make each request pay for an index of all keys.
func TestFleetChangesItsPointerOnlyWithItsContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		a := startNode(t, log, "a")
		a.ready()
		require.Equal(t, protocol.Accepted, a.put(change("1", protocol.NoOffset, organisation("o", 1), keyOf("k", "o", "1"))))
		log.SetFault(appendsDown)
		before := a.Fleet()
		a.WithdrawLocally("k", "op")
		during := a.Fleet()
		require.NotSame(t, before, during)
		require.False(t, before.Keys["k"].Withdrawn, "a configuration that was handed out changed")
		pass(5 * time.Second)
		require.Same(t, during, a.Fleet())
		log.SetFault(nil)
		await(t, 15*time.Second, "withdrawal in the log", func() bool { return len(a.Tombstones()) == 0 })
		require.True(t, a.Fleet().Keys["k"].Withdrawn)
	})
}

// One instance runs a release that decides a record differently. Both go on
// working, and an item may complete twice with nobody seeing why, unless they
// find out that their verdicts differ.
func TestInstancesThatDecideDifferentlyNoticeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream, network := memlog.New(memlog.Options{}), newNetwork()
		// The instance of the other release starts first: its variant has to
		// read the stream from the first entry.
		b := startPeer(t, stream, network, "b", "pnw-sea", func(o *Options) {
			o.Log = &anyBase{Log: o.Log, shadow: replica.New()}
		})
		b.ready()
		a := startPeer(t, stream, network, "a", "pnw-sea")
		a.ready()
		pass(10 * time.Second)
		require.Equal(t, protocol.Accepted, a.put(change("1", protocol.NoOffset, organisation("o", 1))))
		require.Equal(t, protocol.Conflict, a.put(change("2", protocol.NoOffset, organisation("p", 1))))
		pass(5 * time.Second)
		a.kill()
		b.kill()
		require.Contains(t, a.events.String(), "replica_diverged")
		require.Contains(t, b.events.String(), "replica_diverged")
	})
}
