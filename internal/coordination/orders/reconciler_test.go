package orders

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// fakeLog is a replicated state that several journals share.
type fakeLog struct {
	mu     sync.Mutex
	offset protocol.Offset
	state  *replica.State
	fleet  *protocol.Fleet
}

// fakeJournal is a coordination.Journal whose records are always read back.
type fakeJournal struct {
	coordination.Journal
	log     *fakeLog
	session protocol.SessionID
}

func (j *fakeJournal) Submit(_ context.Context, rec protocol.Record) coordination.Outcome {
	j.log.mu.Lock()
	defer j.log.mu.Unlock()
	j.log.offset++
	rec.ID = protocol.RecordID{Session: j.session, Seq: uint64(j.log.offset)}
	verdict := j.log.state.Leases.Apply(j.log.offset, &rec, nil)
	return coordination.Outcome{Verdict: verdict, Offset: j.log.offset, Run: protocol.Completed}
}

func (j *fakeJournal) View(read func(*replica.State)) {
	j.log.mu.Lock()
	defer j.log.mu.Unlock()
	read(j.log.state)
}

func (j *fakeJournal) Fleet() *protocol.Fleet {
	j.log.mu.Lock()
	defer j.log.mu.Unlock()
	return j.log.fleet
}

func (j *fakeJournal) Session() protocol.SessionID { return j.session }
func (j *fakeJournal) MayHold() bool               { return true }
func (j *fakeJournal) LogUp() bool                 { return true }

// fakeOrders is a set of targets that carry out orders immediately.
type fakeOrders struct {
	mu      sync.Mutex
	running map[string]external.Order
	sent    []external.Order
}

func (o *fakeOrders) Send(_ context.Context, address string, order external.Order) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if order.Fence < o.running[address].Fence {
		return external.ErrStaleFence
	}
	o.running[address] = order
	o.sent = append(o.sent, order)
	return nil
}

func (o *fakeOrders) Current(_ context.Context, address string) (external.OrderState, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	order := o.running[address]
	return external.OrderState{Fence: order.Fence, Order: order}, nil
}

func (o *fakeOrders) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.sent)
}

func ordersFleet() *protocol.Fleet {
	return &protocol.Fleet{
		Models:   map[protocol.ModelName]protocol.Model{"roster": {Name: "roster", Service: testService, Version: "v1"}},
		Services: map[protocol.ServiceName]protocol.Service{testService: {Name: testService, Kind: protocol.KindModel, Role: "mixed"}},
	}
}

// Two instances claim the lease. One gets it and sends orders to both targets.
// After a graceful shutdown of that instance, the other one takes over without
// waiting, with a newer fencing number.
func TestReconcilersHandOverTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{state: replica.New(), fleet: ordersFleet()}
		targets := &fakeOrders{running: map[string]external.Order{}}
		listing := external.Listing{Targets: []external.ListedTarget{
			{ID: "r1", Service: testService, Domain: testDomain, Address: "a:1"},
			{ID: "r2", Service: testService, Domain: testDomain, Address: "a:2"},
			{ID: "r3", Service: testService, Domain: "bucuresti-s4", Address: "a:3"},
		}}
		ctx, cancel := context.WithCancel(context.Background())
		supervisor := suture.NewSimple("test")
		var both []*Reconciler
		for i, name := range []protocol.InstanceID{"p1", "p2"} {
			r := New(Options{Instance: name, Domain: testDomain, Journal: &fakeJournal{log: log, session: protocol.SessionID(i + 1)}, Orders: targets})
			r.SetListing(listing)
			both = append(both, r)
			for _, service := range r.Services() {
				supervisor.Add(service)
			}
		}
		ended := supervisor.ServeBackground(ctx)
		<-time.After(20 * time.Second)
		require.Equal(t, 2, targets.count())
		require.Equal(t, external.Order{Fence: targets.running["a:1"].Fence, Model: "roster", Version: "v1", Role: "mixed"}, targets.running["a:1"])
		holder, other := both[0], both[1]
		if len(holder.Targets()) == 0 {
			holder, other = other, holder
		}
		require.Len(t, holder.Targets(), 2)
		holder.Release(ctx)
		log.mu.Lock()
		changed := *log.fleet
		changed.Models = map[protocol.ModelName]protocol.Model{"roster": {Name: "roster", Service: testService, Version: "v2"}}
		log.fleet = &changed
		log.mu.Unlock()
		<-time.After(20 * time.Second)
		require.Len(t, other.Targets(), 2)
		require.Equal(t, "v2", targets.running["a:1"].Version)
		require.Equal(t, "v2", targets.running["a:2"].Version)
		require.NotContains(t, targets.running, "a:3", "target of another domain")
		cancel()
		<-ended
	})
}
