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

// network delivers calls between the instances of one test.
type network struct {
	mu           sync.Mutex
	peers        map[string]*member.Peer
	disconnected map[string]bool
}

func newNetwork() *network {
	return &network{peers: map[string]*member.Peer{}, disconnected: map[string]bool{}}
}

// setDisconnected disconnects an address from the network or reconnects it.
func (n *network) setDisconnected(address string, disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[address] = disconnected
}

func (n *network) connect(from, to string) (*member.Peer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	peer, ok := n.peers[to]
	if !ok || n.disconnected[from] || n.disconnected[to] {
		return nil, errors.New("connection refused")
	}
	return peer, nil
}

type caller struct {
	network *network
	from    string
}

func (c caller) Call(_ context.Context, address, _ string, args, reply any) error {
	peer, err := c.network.connect(c.from, address)
	if err != nil {
		return err
	}
	switch args := args.(type) {
	case *member.Heartbeat:
		return peer.Heartbeat(args, reply.(*member.Heartbeat))
	case *member.SnapshotArgs:
		return peer.Snapshot(args, reply.(*member.SnapshotReply))
	}
	return errors.New("unknown method")
}

// startPeer runs an instance that exchanges heartbeats with its peers.
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

func keyObject(id protocol.KeyID, org protocol.OrganisationID, digit string) protocol.FleetObject {
	hash := ""
	for range 64 {
		hash += digit
	}
	return protocol.FleetObject{Key: &protocol.Key{ID: id, Organisation: org, SHA256: hash}}
}

func fleetChange(id string, basedOn protocol.Offset, set ...protocol.FleetObject) protocol.Record {
	return protocol.Record{FleetChange: &protocol.FleetChange{ChangeID: id, BasedOn: basedOn, Set: set, Operator: "op"}}
}

// A failure domain is isolated from the platform but reaches the other domains.
// An operator withdraws a key and changes a rate through the log. Without
// heartbeats the isolated domain would admit the withdrawn key until it reaches
// the platform again.
func TestConfigurationReachesADomainCutOffFromThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, network := memlog.New(memlog.Options{}), newNetwork()
		a := startPeer(t, log, network, "a", "pnw-sea")
		b := startPeer(t, log, network, "b", "pnw-pdx")
		a.waitReady()
		b.waitReady()
		require.Equal(t, protocol.Accepted, a.mustSubmit(fleetChange("1", protocol.NoOffset, organisation("o", 1), keyObject("k", "o", "1"))))
		await(t, 2*time.Second, "key known", func() bool { return b.KeyActive("k") })
		b.logLink.setFault(allDown)
		sleep(5 * time.Second)
		require.False(t, b.LogUp())
		require.Equal(t, protocol.Accepted, a.mustSubmit(protocol.Record{KeyWithdraw: &protocol.KeyWithdraw{Key: "k"}}))
		require.Equal(t, protocol.Accepted, a.mustSubmit(fleetChange("2", a.Fleet().Version, organisation("o", 5))))
		await(t, 5*time.Second, "withdrawal and rate at b", func() bool {
			return !b.KeyActive("k") && b.Fleet().Organisations["o"].Rate == 5
		})
	})
}

// The whole platform is down, and an operator sends a key withdrawal to one
// instance of the domain directly. The other instances must reject the key too,
// also after the log is up again.
func TestKeyWithdrawnWithoutTheLogStaysWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, network := memlog.New(memlog.Options{}), newNetwork()
		a := startPeer(t, log, network, "a", "pnw-sea")
		b := startPeer(t, log, network, "b", "pnw-sea")
		a.waitReady()
		b.waitReady()
		require.Equal(t, protocol.Accepted, a.mustSubmit(fleetChange("1", protocol.NoOffset, organisation("o", 1), keyObject("k", "o", "1"))))
		log.SetFault(allDown)
		sleep(5 * time.Second)
		a.WithdrawLocally("k", "op")
		require.False(t, a.KeyActive("k"), "not withdrawn at once on the operator's instance")
		await(t, 2*time.Second, "withdrawal at b", func() bool { return !b.KeyActive("k") })
		log.SetFault(nil)
		await(t, 15*time.Second, "withdrawal in the log", func() bool { return len(a.Tombstones())+len(b.Tombstones()) == 0 })
		c := startPeer(t, log, network, "c", "pnw-spk")
		c.waitReady()
		require.True(t, c.Fleet().Keys["k"].Withdrawn)
		require.Equal(t, protocol.Accepted, a.mustSubmit(fleetChange("2", a.Fleet().Version, keyObject("k", "o", "1"))))
		require.False(t, a.KeyActive("k"), "a later change reactivated the key")
	})
}

// An instance is replaced while the log is down. It has no disk, so it can load
// its state only from a peer. It must serve with the peer's configuration but
// must not hold any lease.
func TestStartFromAPeerWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, network := memlog.New(memlog.Options{}), newNetwork()
		a := startPeer(t, log, network, "a", "pnw-sea")
		a.waitReady()
		require.Equal(t, protocol.Accepted, a.mustSubmit(fleetChange("1", protocol.NoOffset, organisation("o", 1))))
		log.SetFault(allDown)
		sleep(10 * time.Second)
		b := startPeer(t, log, network, "b", "pnw-sea")
		await(t, 10*time.Second, "configuration from a", func() bool { return b.Fleet().Organisations["o"].Rate == 1 })
		require.Zero(t, b.Session())
		require.False(t, b.MayHold())
		require.Equal(t, protocol.NotRun, b.Submit(t.Context(), leaseClaim("r", protocol.NoOffset)).Run)
		log.SetFault(nil)
		b.waitReady()
	})
}

// Two instances start at the same time while the log is down, and neither has
// loaded a state. If one adopted the other's empty state, both would serve
// without any known key and later disagree with the log.
func TestInstancesStartingTogetherExchangeNoEmptyState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, network := memlog.New(memlog.Options{}), newNetwork()
		log.SetFault(allDown)
		a := startPeer(t, log, network, "a", "pnw-sea")
		b := startPeer(t, log, network, "b", "pnw-sea")
		sleep(30 * time.Second)
		require.False(t, a.isLoaded())
		require.False(t, b.isLoaded())
		require.Contains(t, a.Problem(), "can't start")
		log.SetFault(nil)
		a.waitReady()
		b.waitReady()
	})
}

// The list of peers starts with the instance's own failure domain. A peer that
// no longer answers is listed as not reachable, although its session is still
// open.
func TestPeerListShowsSilentPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, network := memlog.New(memlog.Options{}), newNetwork()
		a := startPeer(t, log, network, "a", "pnw-sea")
		b := startPeer(t, log, network, "b", "pnw-pdx")
		c := startPeer(t, log, network, "c", "pnw-sea")
		for _, n := range []*node{a, b, c} {
			n.waitReady()
		}
		sleep(3 * time.Second)
		defer func() {
			a.kill()
			require.NotContains(t, a.events.String(), "replica_diverged")
		}()
		list := a.heartbeats.List()
		require.Len(t, list, 2)
		require.EqualValues(t, "c", list[0].Instance)
		require.EqualValues(t, "b", list[1].Instance)
		require.True(t, list[0].Reachable)
		network.setDisconnected("c:7000", true)
		sleep(5 * time.Second)
		require.False(t, a.heartbeats.List()[0].Reachable)
		require.Error(t, a.heartbeats.Call(t.Context(), "c", member.MethodHeartbeat, &member.Heartbeat{}, &member.Heartbeat{}))
		require.NoError(t, a.heartbeats.Call(t.Context(), "b", member.MethodHeartbeat, &member.Heartbeat{}, &member.Heartbeat{}))
	})
}

// Readers build an index of the keys for each configuration pointer. If every
// renewal in the stream set a new pointer, each request would build a new index
// while a key withdrawal waits for the log.
func TestFleetPointerChangesOnlyWithContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		a := startNode(t, log, "a")
		a.waitReady()
		require.Equal(t, protocol.Accepted, a.mustSubmit(fleetChange("1", protocol.NoOffset, organisation("o", 1), keyObject("k", "o", "1"))))
		log.SetFault(appendsDown)
		before := a.Fleet()
		a.WithdrawLocally("k", "op")
		during := a.Fleet()
		require.NotSame(t, before, during)
		require.False(t, before.Keys["k"].Withdrawn, "a published configuration was modified")
		sleep(5 * time.Second)
		require.Same(t, during, a.Fleet())
		log.SetFault(nil)
		await(t, 15*time.Second, "withdrawal in the log", func() bool { return len(a.Tombstones()) == 0 })
		require.True(t, a.Fleet().Keys["k"].Withdrawn)
	})
}

// One instance runs a release that decides a record differently. Without
// detection both instances would continue, and an item could complete twice
// with no visible cause. Both must report that their states differ.
func TestDivergedReplicasAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream, network := memlog.New(memlog.Options{}), newNetwork()
		// The instance with the other release starts first: rebasingLog has to
		// read the stream from the first entry.
		b := startPeer(t, stream, network, "b", "pnw-sea", func(o *Options) {
			o.Log = &rebasingLog{Log: o.Log, state: replica.New()}
		})
		b.waitReady()
		a := startPeer(t, stream, network, "a", "pnw-sea")
		a.waitReady()
		sleep(10 * time.Second)
		require.Equal(t, protocol.Accepted, a.mustSubmit(fleetChange("1", protocol.NoOffset, organisation("o", 1))))
		require.Equal(t, protocol.Conflict, a.mustSubmit(fleetChange("2", protocol.NoOffset, organisation("p", 1))))
		sleep(5 * time.Second)
		a.kill()
		b.kill()
		require.Contains(t, a.events.String(), "replica_diverged")
		require.Contains(t, b.events.String(), "replica_diverged")
	})
}
