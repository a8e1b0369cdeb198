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

// fakeLog is one replayed state that several journals share.
type fakeLog struct {
	mu     sync.Mutex
	offset protocol.Offset
	state  *replica.State
	fleet  *protocol.Fleet
}

// fakeJournal is a coordination.Journal that always reads its records back.
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

// fakeOrders are targets that load at once.
type fakeOrders struct {
	mu    sync.Mutex
	runs  map[string]external.Order
	given []external.Order
}

func (o *fakeOrders) Give(_ context.Context, address string, order external.Order) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if order.Fence < o.runs[address].Fence {
		return external.ErrStaleFence
	}
	o.runs[address] = order
	o.given = append(o.given, order)
	return nil
}

func (o *fakeOrders) Current(_ context.Context, address string) (external.OrderState, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	order := o.runs[address]
	return external.OrderState{Fence: order.Fence, Order: order}, nil
}

func (o *fakeOrders) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.given)
}

func ordersFleet() *protocol.Fleet {
	return &protocol.Fleet{
		Models:   map[protocol.ModelName]protocol.Model{"roster": {Name: "roster", Service: testService, Version: "v1"}},
		Services: map[protocol.ServiceName]protocol.Service{testService: {Name: testService, Kind: protocol.KindModel, Role: "mixed"}},
	}
}

// Two instances want the duty. One gets it and orders both targets; when it
// leaves in order, the other one takes over at once, with a newer number.
func TestReconcilersHandTheDutyOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{state: replica.New(), fleet: ordersFleet()}
		targets := &fakeOrders{runs: map[string]external.Order{}}
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
		require.Equal(t, external.Order{Fence: targets.runs["a:1"].Fence, Model: "roster", Version: "v1", Role: "mixed"}, targets.runs["a:1"])
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
		require.Equal(t, "v2", targets.runs["a:1"].Version)
		require.Equal(t, "v2", targets.runs["a:2"].Version)
		require.NotContains(t, targets.runs, "a:3", "another domain's target")
		cancel()
		<-ended
	})
}
