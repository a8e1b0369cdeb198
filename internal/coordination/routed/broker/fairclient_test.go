package broker

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/state/roster"
)

// scarceBrokers are the brokers of several domains, all of whose slots are taken.
type scarceBrokers struct {
	// rejecting are those that reject what they may reject, by domain, with their time to return.
	rejecting map[string]time.Duration
	// dead are the domains whose brokers do not answer.
	dead     map[string]bool
	requests []PlaceRequest
	// waits are the domains at which the client waited.
	waits []string
}

func (s *scarceBrokers) Up(domain string) []mesh.Instance {
	return []mesh.Instance{{Name: domain, Domain: domain, Address: domain + ":1"}}
}
func (s *scarceBrokers) CountNotDown(string) int { return 1 }

func (s *scarceBrokers) Call(_ context.Context, _, method string, args, reply any) error {
	if method != methodPlace {
		return nil
	}
	request := args.(*PlaceRequest)
	s.requests = append(s.requests, *request)
	if s.dead[request.Domain] {
		return errors.New("refused")
	}
	if room, rejects := s.rejecting[request.Domain]; rejects && request.RejectIn > 0 {
		reply.(*PlaceReply).Queue = placement.QueueState{Rejected: true, RoomIn: room}
		return nil
	}
	if request.Wait > 0 {
		s.waits = append(s.waits, request.Domain)
		<-time.After(request.Wait)
	}
	return nil
}

// newScarceClient returns the client of an instance of another domain than the targets.
func newScarceClient(brokers *scarceBrokers, fairQueue bool) *Client {
	client := NewClient(ClientOptions{
		Self: mesh.Instance{Name: "a", Domain: "d0", Address: "a:1"}, Peers: brokers, Caller: brokers, FairQueue: fairQueue,
		Broker: New("d0", 1, nil), Local: placement.NewPlacer("d0", func(string) bool { return false }, 1),
		Connected: func(string) bool { return false }, Logger: log.NewNopLogger(),
	})
	var list []roster.Target
	for _, domain := range []string{"d1", "d2"} {
		list = append(list, roster.Target{ID: "t-" + domain, Service: "s", Address: domain + ":2", Domain: domain, Slots: 8})
	}
	client.SetTargets(1, list)
	return client
}

// placeScarce places a request of an instance of another domain, with 65 ms to be rejected and 300 ms
// to wait.
func placeScarce(t *testing.T, brokers *scarceBrokers, fairQueue bool) (choice placement.Choice, took time.Duration) {
	t.Helper()
	client := newScarceClient(brokers, fairQueue)
	began := time.Now()
	choice, ok := client.Place(t.Context(), placement.Requirements{Service: "s"}, placement.WaitLimits{
		SendBy: began.Add(240 * time.Millisecond), Deadline: began.Add(300 * time.Millisecond),
		RejectBy: began.Add(65 * time.Millisecond), Organisation: "one", Weight: 4,
	})
	require.False(t, ok)
	return choice, time.Since(began)
}

// Guards against a request that is rejected although the broker of one failure domain expects a slot for
// it, and against one that waits although all brokers that answer reject it.
func TestRequestIsRejectedOnlyIfAllBrokersRejectIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		both := &scarceBrokers{rejecting: map[string]time.Duration{"d1": 700 * time.Millisecond, "d2": 500 * time.Millisecond}}
		choice, took := placeScarce(t, both, true)
		require.True(t, choice.Queue.Rejected)
		require.Equal(t, 500*time.Millisecond, choice.Queue.RoomIn, "the earliest")
		require.Zero(t, took)
		require.Len(t, both.requests, 2)
		require.Equal(t, "one", both.requests[0].Organisation)
		require.Equal(t, 300*time.Millisecond, both.requests[0].WaitIn)

		one := &scarceBrokers{rejecting: map[string]time.Duration{"d1": time.Second}}
		choice, took = placeScarce(t, one, true)
		require.False(t, choice.Queue.Rejected)
		require.Equal(t, 300*time.Millisecond, took)
		require.Equal(t, "d2", one.waits[0], "it waits where it is not rejected")

		dead := &scarceBrokers{rejecting: map[string]time.Duration{"d1": time.Second}, dead: map[string]bool{"d2": true}}
		choice, took = placeScarce(t, dead, true)
		require.True(t, choice.Queue.Rejected, "the other one does not answer")
		require.Zero(t, took)
	})
}

// Guards against slots for failover that are charged to no organisation, and against a reservation that
// brokers may reject.
func TestFailoverIsChargedToItsOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		brokers := &scarceBrokers{}
		client := newScarceClient(brokers, true)
		_, ok := client.TryPlace(t.Context(), placement.Requirements{Service: "s"}, placement.WaitLimits{
			RejectBy: time.Now().Add(time.Second), Organisation: "one", Weight: 4,
		})
		require.False(t, ok)
		require.Len(t, brokers.requests, 2)
		for _, request := range brokers.requests {
			require.Equal(t, "one", request.Organisation)
			require.Equal(t, 4.0, request.Weight)
			require.Zero(t, request.RejectIn)
			require.Zero(t, request.Wait)
		}
	})
}

// Guards against requests that brokers may reject although the instance does not use fair queueing.
func TestClientWithoutFairQueueAsksAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		brokers := &scarceBrokers{rejecting: map[string]time.Duration{"d1": time.Second, "d2": time.Second}}
		choice, took := placeScarce(t, brokers, false)
		require.Zero(t, choice)
		require.Equal(t, 300*time.Millisecond, took)
		for _, request := range brokers.requests {
			require.Empty(t, request.Organisation)
			require.Zero(t, request.Weight)
			require.Zero(t, request.RejectIn)
			require.Zero(t, request.WaitIn)
		}
	})
}
