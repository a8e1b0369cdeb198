package batchjobs

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/broker"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/protocol/sse"
	"merlintiller/internal/state/jobs"
	"merlintiller/internal/state/roster"
)

// listPlacer lists targets of some versions and grants no slot.
type listPlacer struct{ versions []string }

func (p *listPlacer) Domains() []string { return nil }
func (p *listPlacer) PlaceItem(context.Context, string, broker.Item) (placement.Choice, bool) {
	return placement.Choice{}, false
}
func (p *listPlacer) HasTargets(req placement.Requirements) bool {
	for _, version := range p.versions {
		if req.Allows(roster.Target{Service: "s", Version: version}) {
			return true
		}
	}
	return false
}
func (p *listPlacer) SetRunID(placement.Choice, string)                          {}
func (p *listPlacer) SetProgress(placement.Choice, time.Duration, time.Duration) {}
func (p *listPlacer) Done(placement.Choice, placement.Result)                    {}
func (p *listPlacer) ReportLoad(placement.Choice, *exchange.Load)                {}
func (p *listPlacer) DataReceived(string)                                        {}

func choiceOf(version string) placement.Choice {
	return placement.Choice{Target: roster.Target{Version: version}}
}

// versionsRunner returns a runner whose service lists targets of some versions. only is the
// version that the service has had alone, if any.
func versionsRunner(t *testing.T, listed []string, only string) (*Runner, *listPlacer) {
	p := newTestPartition(t, 3)
	placer := &listPlacer{versions: listed}
	p.opts.Placer = placer
	p.opts.OnlyVersion = func(string) (string, bool) { return only, only != "" }
	return NewRunner(p.opts), placer
}

// taskWithOutput returns a waiting item with events of a version.
func taskWithOutput(r *Runner, id, version string, events int) *task {
	t := &task{openItem: openItem{id: itemID{"job", id}}, runner: r, position: exchange.FromStart, notBefore: time.Now()}
	t.output.reset()
	t.choice = choiceOf(version)
	for n := range events {
		if err := t.addEvent(&sse.Event{HasPosition: true, Position: n, Raw: []byte("data: x\n\n")}); err != nil {
			panic(err)
		}
	}
	return t
}

// Guards against output that is joined from two versions: an item takes a slot of its own
// version only, and a less urgent one gets the others.
func TestItemWithOutputTakesSlotOfItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := versionsRunner(t, []string{"v1", "v2"}, "")
		urgent, second, fresh := taskWithOutput(r, "a", "v1", 100), taskWithOutput(r, "b", "v2", 100), taskWithOutput(r, "c", "", 0)
		list := []runnableTask{{urgent, "s"}, {second, "s"}, {fresh, "s"}}
		now := time.Now()
		require.Same(t, urgent, r.taskFor(now, list, "s", "v1"))
		require.Same(t, second, r.taskFor(now, list, "s", "v2"))
		require.Same(t, fresh, r.taskFor(now, list, "s", "v3"))
		require.Nil(t, r.taskFor(now, list[:2], "s", "v3"))
		require.Nil(t, r.taskFor(now, list, "other", "v1"))
		require.Empty(t, r.acceptedVersions(now, list, "s"))
		require.Equal(t, []string{"v1", "v2"}, r.acceptedVersions(now, list[:2], "s"))
	})
}

// Guards against an item that waits for ever for its version while slots of others are free,
// and against one that gives up its output sooner than it would take to produce it again.
func TestItemStartsAgainAfterWaitingAsLongAsThatCosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := versionsRunner(t, []string{"v1", "v2"}, "")
		long, fresh := taskWithOutput(r, "a", "v1", 100), taskWithOutput(r, "b", "", 0)
		redo := r.estimate.remaining(0) - r.estimate.remaining(100)
		require.Greater(t, redo, 2*time.Second)
		list := []runnableTask{{long, "s"}, {fresh, "s"}}
		require.Same(t, fresh, r.taskFor(time.Now(), list, "s", "v2"))
		time.Sleep(redo)
		require.Same(t, fresh, r.taskFor(time.Now(), list, "s", "v2"))
		require.Nil(t, r.taskFor(time.Now(), list[:1], "s", "v2"))
		time.Sleep(time.Millisecond)
		require.Same(t, long, r.taskFor(time.Now(), list, "s", "v2"))
		require.Same(t, long, r.taskFor(time.Now(), list[:1], "s", "v2"))
		require.Empty(t, r.acceptedVersions(time.Now(), list[:1], "s"))
		r.restart(long, versionFull)
		require.True(t, long.mayRunAt("v2"))
		require.Equal(t, exchange.FromStart, long.position)
		require.Empty(t, long.text.String())
	})
}

// Guards against output that is kept though nothing can be joined to it, and against output
// that is discarded while no target at all is listed.
func TestOutputThatCanNotGoOnIsDiscarded(t *testing.T) {
	for name, c := range map[string]struct {
		version, only string
		listed        []string
		kept          bool
	}{
		"listed":                     {"v1", "", []string{"v1", "v2"}, true},
		"gone":                       {"v1", "", []string{"v2"}, false},
		"no target":                  {"v1", "", nil, true},
		"unknown":                    {"", "", []string{"v1", "v2"}, false},
		"unknown, one version":       {"", "v1", []string{"v1"}, true},
		"unknown, and none listed":   {"", "", nil, true},
		"gone, of the only versions": {"v1", "v2", []string{"v2"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := versionsRunner(t, c.listed, c.only)
			item := taskWithOutput(r, "a", c.version, 20)
			r.settleVersion(item, "s", listedVersions{})
			require.Equal(t, c.kept, item.events == 20)
			if c.kept && c.only != "" {
				require.Equal(t, c.only, item.version)
			}
		})
	}
}

// Guards against a version that is lost on the way to the next owner of an item: with its stored
// output, and with the output that is handed over.
func TestVersionGoesWithOutput(t *testing.T) {
	r, _ := versionsRunner(t, []string{"v1"}, "")
	item := taskWithOutput(r, "a", "v1", minSegmentEvents)
	segment, ok := item.output.segment(0)
	require.True(t, ok)
	require.Equal(t, "v1", segment.Version)

	next := taskWithOutput(r, "a", "", 0)
	next.adopt(item.partialOutput(), true)
	require.Equal(t, "v1", next.version)
	segment, ok = next.output.segment(0)
	require.True(t, ok)
	require.Equal(t, "v1", segment.Version)

	resumed := taskWithOutput(r, "a", "", 0)
	resumed.resume(jobs.Progress{Segments: 1, Events: 4, Position: 3, Text: "x", Version: "v1"})
	require.Equal(t, "v1", resumed.version)
	require.NoError(t, resumed.addEvent(&sse.Event{HasPosition: true, Position: 4, Raw: []byte("data: x\n\n")}))
	require.Equal(t, "v1", resumed.output.version)
}

// Guards against segments of an earlier release, which name no version, between those of one
// that does: the version of the whole output is then not known.
func TestVersionOfStoredOutput(t *testing.T) {
	for name, c := range map[string]struct {
		versions []string
		want     string
	}{
		"same":          {[]string{"v1", "v1", "v1"}, "v1"},
		"earlier first": {[]string{"", "v1"}, ""},
		"earlier later": {[]string{"v1", "", "v1"}, ""},
		"two":           {[]string{"v1", "v2"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPartition(t, 1)
			follows := uint64(0)
			for n, version := range c.versions {
				after := 10*n - 1
				record, err := jobs.EncodeSegment(jobID, jobs.OutputSegment{
					Tag: uint64(n + 1), Follows: follows, Number: n, After: after, Events: 10, Position: after + 10, Text: "x", Version: version,
				}, p.opts.RecordBytes)
				require.NoError(t, err)
				follows = uint64(n + 1)
				_, err = p.store.Append(t.Context(), p.at, []external.KeyedRecord{record}, external.AnyEnd)
				require.NoError(t, err)
			}
			progress, ok := p.publishedJob().Progress(0)
			require.True(t, ok)
			require.Equal(t, len(c.versions), progress.Segments)
			require.Equal(t, c.want, progress.Version)
		})
	}
}
