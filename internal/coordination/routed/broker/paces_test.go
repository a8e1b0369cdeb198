package broker

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/pace"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

func newPaceBroker() *Broker {
	b := New("d1", 1, func(string, uint64) bool { return true })
	b.SetPaceMaxAge(time.Second)
	b.SetTargets(1, paceTargets())
	return b
}

func paceTargets() (list []roster.Target) {
	for i := range 3 {
		list = append(list, roster.Target{ID: fmt.Sprint("t", i), Service: "s", Domain: "d1", Address: fmt.Sprint("t", i, ":1"), Slots: 8})
	}
	return list
}

// Guards against a successor of a broker that ranks without paces for longer than one interval of
// full reports.
func TestSuccessorLearnsPacesFromFullReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newPaceBroker()
		grant := b.Place(t.Context(), newRequest(1, time.Second, 0)).Grant
		require.Zero(t, grant.Pace, "nothing is known")
		paces := []pace.Observation{{Target: "t0", Percent: 60, Age: 100 * time.Millisecond}, {Target: "t1", Percent: 400}, {Target: "t2", Mean: 160}, {Target: "gone", Percent: 400}}
		b.ApplyReport(&HoldReport{Instance: "n2", Whole: true, Paces: paces})
		grant = b.Place(t.Context(), newRequest(2, time.Second, 0)).Grant
		require.Equal(t, "t0", grant.Target.ID)
		require.Equal(t, pace.Reported, grant.PaceSource)
		require.Equal(t, 100*time.Millisecond, grant.PaceAge)
		for number := range uint64(6) {
			require.NotEqual(t, "t1", b.Place(t.Context(), newRequest(3+number, time.Second, 0)).Grant.Target.ID)
		}
		// The reports age out, and then the targets are ranked by the means.
		sleep := time.NewTimer(pace.MaxReportAge)
		<-sleep.C
		require.NotEqual(t, pace.Reported, b.Place(t.Context(), newRequest(20, time.Second, 0)).Grant.PaceSource)
	})
}

// Guards against a broker that keeps an instance's memory of unlimited size, and against messages
// that exceed the control budget: a full report is sent to each of four domains 2.5 times a second.
func TestPacesInReportsAreBounded(t *testing.T) {
	report := HoldReport{Instance: "instance-17", Whole: true}
	size := func() int {
		var wire bytes.Buffer
		require.NoError(t, gob.NewEncoder(&wire).Encode(&report))
		return wire.Len()
	}
	empty := size()
	for i := range pace.MaxObservations {
		report.Paces = append(report.Paces, pace.Observation{Target: fmt.Sprintf("i-%010d", i), Percent: 160, Age: 123456789, Mean: 170, Observed: true})
	}
	require.Less(t, size()-empty, 1<<10)
	report.Paces = report.Paces[:4]
	t.Logf("a full report: %d bytes without paces, %d with 4 paces", empty, size())

	b := newPaceBroker()
	report.Paces = make([]pace.Observation, 10*pace.MaxObservations)
	report.Paces[pace.MaxObservations] = pace.Observation{Target: "t0", Percent: 400}
	b.ApplyReport(&report)
	require.False(t, b.allocator.core.ReportsPace("s"), "beyond the bound")
}

// paceCaller delivers the calls of a client to a broker of this release.
type paceCaller struct {
	t        *testing.T
	receiver *Receiver
	paced    *[]pace.Observation
	loads    *int
	lost     *bool
}

func (c paceCaller) Call(_ context.Context, _, method string, args, reply any) error {
	switch method {
	case methodPlace:
		return c.receiver.Place(args.(*PlaceRequest), reply.(*PlaceReply))
	case methodPaced:
		*c.paced = append(*c.paced, *args.(*pace.Observation))
		if *c.lost {
			return context.DeadlineExceeded
		}
		return c.receiver.Paced(args.(*pace.Observation), nil)
	case methodLoaded:
		*c.loads++
		return nil
	default:
		return c.receiver.Tell(args.(*HoldReport), nil)
	}
}

type paceTest struct {
	client *Client
	broker *Broker
	logs   *strings.Builder
	paced  []pace.Observation
	loads  int
	lost   bool
}

func newPaceTest(t *testing.T) *paceTest {
	p := &paceTest{broker: newPaceBroker(), logs: &strings.Builder{}}
	local := placement.NewPlacer("d0", func(string) bool { return false }, 1)
	local.SetPaceMaxAge(time.Second)
	p.client = NewClient(ClientOptions{
		Self: mesh.Instance{Name: "a", Domain: "d0", Address: "a:1"}, Peers: onePeer{},
		Caller: paceCaller{t, p.broker.Receiver(), &p.paced, &p.loads, &p.lost}, Broker: New("d0", 1, nil), Local: local,
		Connected: func(string) bool { return false }, Logger: log.NewLogfmtLogger(p.logs),
	})
	p.client.SetTargets(1, paceTargets())
	return p
}

func (p *paceTest) place(t *testing.T) placement.Choice {
	limits := placement.WaitLimits{SendBy: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second)}
	choice, ok := p.client.Place(t.Context(), placement.Requirements{Service: "s"}, limits)
	require.True(t, ok)
	return choice
}

// Guards against a broker that keeps granting slots at a target that has become slow, as other
// instances know, and against a message for each answer.
func TestBrokerIsToldOfPacesThatDifferFromItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPaceTest(t)
		for _, target := range paceTargets() {
			p.broker.MergePace(pace.Observation{Target: target.ID, Percent: 100})
		}
		choice := p.place(t)
		require.InDelta(t, 100, choice.Pace.Percent, 1, "as the broker stated")
		p.client.ReportLoad(choice, &exchange.Load{Running: 1, Slots: 8, Pace: 110})
		synctest.Wait()
		require.Empty(t, p.paced, "nearly the same")
		p.client.ReportLoad(choice, &exchange.Load{Running: 1, Slots: 8, Pace: 250})
		p.client.ReportLoad(choice, &exchange.Load{Running: 1, Slots: 8, Pace: 250})
		synctest.Wait()
		require.Equal(t, []pace.Observation{{Target: choice.ID, Percent: 250}}, p.paced)
		require.Zero(t, p.loads, "the load is what the broker knew")
		require.Contains(t, p.logs.String(), "event=target_pace_differs target="+choice.ID+" pace=250 stated=100 stated_age_ms=0 stated_source=reported broker=b:1")
		for range 8 {
			require.NotEqual(t, choice.ID, p.place(t).ID)
		}
	})
}

// Guards against a target beyond the bound of paces that is reported again after each grant: the
// broker stores and states the bound.
func TestPaceBeyondBoundIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPaceTest(t)
		for _, target := range paceTargets() {
			p.broker.MergePace(pace.Observation{Target: target.ID, Percent: 100})
		}
		choice := p.place(t)
		p.client.ReportLoad(choice, &exchange.Load{Running: 1, Slots: 8, Pace: 2000})
		synctest.Wait()
		require.Equal(t, []pace.Observation{{Target: choice.ID, Percent: pace.MaxPace}}, p.paced)
		for _, target := range paceTargets() {
			p.broker.MergePace(pace.Observation{Target: target.ID, Percent: 2000})
		}
		for range 5 {
			<-time.After(60 * time.Millisecond)
			p.client.ReportLoad(p.place(t), &exchange.Load{Running: 1, Slots: 8, Pace: 2000})
		}
		synctest.Wait()
		require.Len(t, p.paced, 1)
	})
}

// Guards against a broker that states an instance's observation as the target's report.
func TestBrokerIsToldThatPaceWasObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPaceTest(t)
		for _, target := range paceTargets() {
			p.broker.MergePace(pace.Observation{Target: target.ID, Percent: 100})
		}
		choice := p.place(t)
		p.client.ReportLoad(choice, &exchange.Load{Running: 1, Slots: 8, Pace: 100})
		for range 5 {
			p.client.Observe(choice, pace.EventGap, 40*time.Millisecond)
		}
		p.client.Observe(choice, pace.EventGap, 120*time.Millisecond)
		synctest.Wait()
		require.Len(t, p.paced, 1)
		require.True(t, p.paced[0].Observed)
		require.Equal(t, pace.Observed, p.broker.Pace(choice.ID).Source)
	})
}

// Guards against lost reports that are lost for good: full reports repeat what was observed.
func TestFullReportRepeatsLostPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPaceTest(t)
		for _, target := range paceTargets() {
			p.broker.MergePace(pace.Observation{Target: target.ID, Percent: 100})
		}
		choice := p.place(t)
		p.lost = true
		p.client.ReportLoad(choice, &exchange.Load{Running: 1, Slots: 8, Pace: 250})
		synctest.Wait()
		p.client.sendFullReport("b:1", "d1")
		for range 8 {
			require.NotEqual(t, choice.ID, p.place(t).ID)
		}
	})
}

// Guards against a part that is turned off at an instance but still sends messages.
func TestInstanceWithoutPacesReportsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPaceTest(t)
		p.client.opts.Local.SetPaceMaxAge(0)
		p.broker.MergePace(pace.Observation{Target: "t0", Percent: 100})
		choice := p.place(t)
		p.client.ReportLoad(choice, &exchange.Load{Running: 1, Slots: 8, Pace: 400})
		synctest.Wait()
		require.Empty(t, p.paced)
		require.Empty(t, p.client.holdReport("b:1", "d1", true).Paces)
	})
}

// Guards against fields that a release beside this one can't decode, or misunderstands: zero means
// "as before".
func TestPaceFieldsAreUnderstoodByTwoReleases(t *testing.T) {
	type earlierReport struct {
		Instance string
		Whole    bool
		Held     []Hold
	}
	var old earlierReport
	reencode(t, &HoldReport{Instance: "n", Whole: true, Paces: []pace.Observation{{Target: "t0", Percent: 100}}}, &old)
	require.Equal(t, earlierReport{Instance: "n", Whole: true}, old)
	type earlierObservation struct {
		Target  string
		Percent int
	}
	observation := pace.Observation{}
	reencode(t, &earlierObservation{Target: "t0", Percent: 100}, &observation)
	require.Equal(t, pace.Observation{Target: "t0", Percent: 100}, observation, "an earlier release's is a report")
	var current HoldReport
	reencode(t, &earlierReport{Instance: "n", Whole: true}, &current)
	require.Empty(t, current.Paces)
	var reply earlierReply
	reencode(t, &PlaceReply{Granted: true, Grant: Grant{Number: 3, Pace: 60, PaceSource: pace.Reported, MovedFrom: "t", MovedFromPace: 250}}, &reply)
	require.Equal(t, uint64(3), reply.Grant.Number)
	var grant PlaceReply
	reencode(t, &earlierReply{Granted: true}, &grant)
	require.Zero(t, grant.Grant.Pace)

	client, _ := newReleaseTest(t, []string{"t0"}, "v1")
	client.opts.Local.SetPaceMaxAge(time.Second)
	now := time.Now()
	choice, ok := client.Place(t.Context(), placement.Requirements{Service: "s"}, placement.WaitLimits{SendBy: now.Add(time.Second), Deadline: now.Add(time.Second)})
	require.True(t, ok)
	require.Zero(t, choice.Pace.Percent)
	client.ReportLoad(choice, &exchange.Load{Running: 1, Slots: 8, Pace: 400})
	_, due := client.paceReports.Due(now, choice.ID, 400)
	require.False(t, due, "an earlier broker has no method for it")
}

// Guards against a log that a target with malformed reports fills, and against reports that nobody
// sees.
func TestMalformedLoadsAreCountedAndLoggedOnceAMinute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPaceTest(t)
		before := malformedReports.Get()
		for range 1250 {
			p.client.MalformedLoad("t0", "3,x")
			p.client.MalformedLoad("t1", "")
			<-time.After(100 * time.Millisecond)
		}
		require.Equal(t, uint64(2500), malformedReports.Get()-before)
		require.Equal(t, 3, strings.Count(p.logs.String(), "event=target_load_malformed target=t0 report=3,x"))
		require.Equal(t, 6, strings.Count(p.logs.String(), "\n"))
		require.Contains(t, p.logs.String(), "omitted=599")
	})
}
