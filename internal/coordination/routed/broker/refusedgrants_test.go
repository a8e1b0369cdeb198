package broker

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/state/roster"
)

// brokerCaller delivers the calls of a client to a broker of another instance.
type brokerCaller struct {
	t      *testing.T
	broker *Broker
}

func (c brokerCaller) Call(ctx context.Context, _, method string, args, reply any) error {
	receiver := c.broker.Receiver()
	switch method {
	case methodPlace:
		var request PlaceRequest
		reencode(c.t, args, &request)
		answer := c.broker.Place(ctx, &request)
		reencode(c.t, &answer, reply)
		return nil
	default:
		var report HoldReport
		reencode(c.t, args, &report)
		return receiver.Tell(&report, &struct{}{})
	}
}

// listOf returns a list of targets in domain d1 by their ids.
func listOf(ids ...string) (list []roster.Target) {
	for i, id := range ids {
		list = append(list, roster.Target{ID: id, Service: "s", Address: fmt.Sprint("10.0.0.", i+1, ":1"), Domain: "d1", Slots: 8, Version: "v1"})
	}
	return list
}

// newListTest returns a client of domain d0 with its list as of mark 9, and the broker of domain d1 whose list
// has the given mark.
func newListTest(t *testing.T, own []roster.Target, brokerMark int64, brokers []roster.Target) (*Client, *Broker) {
	broker := New("d1", 2, nil)
	broker.SetTargets(brokerMark, brokers)
	local := placement.NewPlacer("d0", func(string) bool { return false }, 1)
	client := NewClient(ClientOptions{
		Self: mesh.Instance{Name: "a", Domain: "d0", Address: "a:1"}, Peers: onePeer{}, Caller: brokerCaller{t, broker},
		Broker: New("d0", 1, nil), Local: local, Connected: func(string) bool { return false }, Logger: log.NewNopLogger(),
	})
	client.SetTargets(9, own)
	return client, broker
}

// placements are the ways in which a slot is requested.
var placements = map[string]func(t *testing.T, c *Client) (placement.Choice, bool){
	"online": func(t *testing.T, c *Client) (placement.Choice, bool) {
		now := time.Now()
		return c.Place(t.Context(), placement.Requirements{Service: "s"}, placement.WaitLimits{SendBy: now.Add(time.Second), Deadline: now.Add(time.Second)})
	},
	"reserved": func(t *testing.T, c *Client) (placement.Choice, bool) {
		return c.TryPlace(t.Context(), placement.Requirements{Service: "s"}, placement.WaitLimits{})
	},
	"resumed": func(t *testing.T, c *Client) (placement.Choice, bool) {
		now := time.Now()
		want := placement.Requirements{Service: "s", Versions: []string{"v1"}}
		return c.Place(t.Context(), want, placement.WaitLimits{SendBy: now.Add(time.Second), Deadline: now.Add(time.Second)})
	},
	"item": func(t *testing.T, c *Client) (placement.Choice, bool) {
		return c.PlaceItem(t.Context(), "d1", Item{Service: "s", Deadline: time.Now().Add(time.Minute), StartBy: time.Now().Add(time.Minute), MaxRuntime: time.Second})
	},
}

// Guards against requests that are sent to targets that have left, because a broker with an older list grants
// their slots. The slots are given back.
func TestGrantByOlderListIsNotUsedIfTargetLeft(t *testing.T) {
	for name, place := range placements {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, broker := newListTest(t, listOf("t0")[:1], 5, listOf("t0", "t1", "t2", "t3"))
				for range 8 {
					choice, ok := place(t, client)
					require.True(t, ok)
					require.Equal(t, "t0", choice.ID)
				}
				synctest.Wait()
				broker.mu.Lock()
				defer broker.mu.Unlock()
				require.Len(t, broker.allocator.holds, 8, "slots at targets that left are given back")
			})
		})
	}
}

// Guards against an instance that refuses targets which have just started, because its own list is the older one.
func TestGrantByNewerListIsUsedIfTargetIsNotListedYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, _ := newListTest(t, listOf("t0"), 12, listOf("t1")[:1])
		choice, ok := placements["online"](t, client)
		require.True(t, ok)
		require.Equal(t, "t1", choice.ID)
	})
}

// Guards against requests to a target that has left, by the grant of a broker of a release that does not say how old its
// list is.
func TestGrantOfEarlierReleaseIsNotUsedIfTargetLeft(t *testing.T) {
	client, broker := newReleaseTest(t, []string{"gone", "t0"}, "v1")
	choice, ok := client.TryPlace(t.Context(), placement.Requirements{Service: "s"}, placement.WaitLimits{})
	require.True(t, ok)
	require.Equal(t, "t0", choice.ID)
	require.Equal(t, 2, broker.calls)
}

// Guards against requests to a removed target by the grant of a broker that takes its entry for a lapsed one, while the
// broker's list is the newer one.
func TestGrantOfLapsedTargetIsNotUsedIfOwnListLacksIt(t *testing.T) {
	for name, place := range placements {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				brokers := listOf("t0", "t1")
				brokers[1].Lapsed = true
				client, _ := newListTest(t, listOf("t0"), 12, brokers)
				for range 8 {
					choice, ok := place(t, client)
					require.True(t, ok)
					require.Equal(t, "t0", choice.ID)
				}
			})
		})
	}
}

// Guards against an instance without targets after an outage of the store: entries lapsed, and it uses the targets as the
// broker does.
func TestGrantOfLapsedTargetIsUsedIfOwnListHasIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lapsed := listOf("t0")
		lapsed[0].Lapsed = true
		client, _ := newListTest(t, lapsed, 12, lapsed)
		choice, ok := placements["online"](t, client)
		require.True(t, ok)
		require.Equal(t, "t0", choice.ID)
	})
}
