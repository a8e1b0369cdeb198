package broker

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/state/roster"
)

// earlierBroker is a broker of a release that does not know software versions. It grants the
// first target that a request does not exclude.
type earlierBroker struct {
	targets []string
	calls   int
	// released are the numbers of holds that were given back.
	released []uint64
}

// earlierRequest and earlierReply are the messages as that release knows them.
type (
	earlierRequest struct {
		Domain string
		Number uint64
		Want   struct {
			Service string
			Batch   bool
			Exclude []string
		}
	}
	earlierTarget struct {
		ID, Service, Address, Domain string
		Slots                        int
	}
	earlierReply struct {
		Granted bool
		Grant   struct {
			Number      uint64
			Target      earlierTarget
			Busy, Slots int
		}
		Free int
	}
)

// reencode sends a message as one release encodes it and another decodes it.
func reencode(t *testing.T, from, to any) {
	t.Helper()
	var wire bytes.Buffer
	require.NoError(t, gob.NewEncoder(&wire).Encode(from))
	require.NoError(t, gob.NewDecoder(&wire).Decode(to))
}

// testCaller delivers the calls of a client to an earlierBroker.
type testCaller struct {
	t      *testing.T
	broker *earlierBroker
}

func (c testCaller) Call(_ context.Context, _, method string, args, reply any) error {
	if method != methodPlace {
		report := args.(*HoldReport)
		c.broker.released = append(c.broker.released, report.Released...)
		return nil
	}
	c.broker.calls++
	var request earlierRequest
	reencode(c.t, args, &request)
	var answer earlierReply
	for _, id := range c.broker.targets {
		if !slices.Contains(request.Want.Exclude, id) {
			answer.Granted = true
			answer.Grant.Number = request.Number
			answer.Grant.Target = earlierTarget{ID: id, Service: "s", Address: id + ":1", Domain: "d1", Slots: 8}
			break
		}
	}
	reencode(c.t, &answer, reply)
	return nil
}

// onePeer is another failure domain with one instance.
type onePeer struct{}

func (onePeer) Up(domain string) []mesh.Instance {
	if domain != "d1" {
		return nil
	}
	return []mesh.Instance{{Name: "b", Domain: "d1", Address: "b:1"}}
}
func (onePeer) CountNotDown(string) int { return 1 }

// newReleaseTest returns a client in a domain without targets, whose list has a target of each
// version in the domain of an earlierBroker.
func newReleaseTest(t *testing.T, brokerTargets []string, versions ...string) (*Client, *earlierBroker) {
	broker := &earlierBroker{targets: brokerTargets}
	local := placement.NewPlacer("d0", func(string) bool { return false }, 1)
	client := NewClient(ClientOptions{
		Self: mesh.Instance{Name: "a", Domain: "d0", Address: "a:1"}, Peers: onePeer{}, Caller: testCaller{t, broker},
		Broker: New("d0", 1, nil), Local: local, Connected: func(string) bool { return false }, Logger: log.NewNopLogger(),
	})
	var list []roster.Target
	for i, version := range versions {
		list = append(list, roster.Target{ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprint("t", i, ":1"), Domain: "d1", Slots: 8, Version: version})
	}
	client.SetTargets(1, list)
	return client, broker
}

// Guards against a stream that goes on at another software version during an update, because the
// broker's release does not know versions.
func TestBrokerOfEarlierReleaseGetsOtherVersionsAsExclusions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, broker := newReleaseTest(t, []string{"t0", "t1", "t2"}, "v1", "v2", "v1")
		limits := placement.WaitLimits{SendBy: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second)}
		for range 5 {
			choice, ok := client.Place(t.Context(), placement.Requirements{Service: "s", Versions: []string{"v2"}}, limits)
			require.True(t, ok)
			require.Equal(t, "t1", choice.ID)
			require.Equal(t, "v2", choice.Version, "as listed here: the broker does not name it")
		}
		require.Equal(t, 5, broker.calls)
	})
}

// Guards against a stream at a target of which only the broker knows, and against a loop of calls
// to a broker that grants it again and again.
func TestUnlistedTargetOfEarlierBrokerIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, broker := newReleaseTest(t, []string{"new", "t0", "t1"}, "v1", "v2")
		limits := placement.WaitLimits{SendBy: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second)}
		choice, ok := client.Place(t.Context(), placement.Requirements{Service: "s", Versions: []string{"v2"}}, limits)
		require.True(t, ok)
		require.Equal(t, "t1", choice.ID, "chosen without the broker")
		require.LessOrEqual(t, broker.calls, 2)
		synctest.Wait()
		require.Len(t, broker.released, broker.calls)

		choice, ok = client.Place(t.Context(), placement.Requirements{Service: "s"}, limits)
		require.True(t, ok)
		require.NotEmpty(t, choice.ID)
	})
}

// Guards against a version that is taken from one list while another one names a different one.
func TestVersionOnWhichListsDisagreeIsUnknown(t *testing.T) {
	require.Equal(t, "v1", agreedVersion("v1", "v1"))
	require.Equal(t, "v1", agreedVersion("v1", ""))
	require.Equal(t, "v1", agreedVersion("", "v1"))
	require.Empty(t, agreedVersion("v1", "v2"))
	require.Empty(t, agreedVersion("", ""))
}

// Guards against messages that another release of ours can't read: each side ignores what it does
// not know.
func TestMessagesOfTwoReleasesFit(t *testing.T) {
	var request PlaceRequest
	earlier := earlierRequest{Domain: "d", Number: 7}
	earlier.Want.Service, earlier.Want.Exclude = "s", []string{"x"}
	reencode(t, &earlier, &request)
	require.Equal(t, placement.Requirements{Service: "s", Exclude: []string{"x"}}, request.Want)

	var decoded earlierTarget
	reencode(t, &roster.Target{ID: "t", Service: "s", Address: "a", Domain: "d", Version: "v1", Slots: 3}, &decoded)
	require.Equal(t, earlierTarget{ID: "t", Service: "s", Address: "a", Domain: "d", Slots: 3}, decoded)
	var target roster.Target
	reencode(t, &decoded, &target)
	require.Empty(t, target.Version)
}
