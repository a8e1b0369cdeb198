package journal

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/memlog"
	"merlintiller/internal/state/replica"
)

func nextOf(t *testing.T, log external.Log, stream string) protocol.Offset {
	page, err := log.Read(t.Context(), stream, 1<<40, 1, 0)
	require.NoError(t, err)
	return page.Next
}

// A new instance finds a control stream whose first entries have left
// retention, no snapshot and no peer. If it began at the oldest kept entry, it
// would not know the keys and would run finished items again.
func TestStartWithoutTheBeginningIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		a := startNode(t, log, "a")
		a.ready()
		a.kill()
		log.Trim(protocol.ControlStream, 1)
		b := startNode(t, log, "b")
		pass(time.Minute)
		require.False(t, b.isLoaded())
		require.Contains(t, b.Problem(), "the control stream begins at 1 and there is no snapshot")
		require.Equal(t, protocol.NotRun, b.Submit(t.Context(), claim("r", protocol.NoOffset)).Run)
	})
}

// A new instance starts long after the first entries have left retention. The
// state it needs is larger than one log entry.
func TestStartFromTheSnapshotStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		a := startNode(t, log, "a", func(o *Options) { o.Timings.SnapshotEvery = 50 })
		a.ready()
		a.put(change("1", protocol.NoOffset, bigOrganisations()...))
		for i := range 60 {
			a.put(claim(protocol.Resource(fmt.Sprint("r", i)), protocol.NoOffset))
		}
		await(t, 30*time.Second, "a snapshot in several chunks", func() bool { return nextOf(t, log, protocol.SnapshotStream) >= 3 })
		data, err := a.newestSnapshot(t.Context())
		require.NoError(t, err)
		covered, err := replica.Restore(data)
		require.NoError(t, err)
		log.Trim(protocol.ControlStream, covered.Applied()+1)
		b := startNode(t, log, "b")
		b.ready()
		require.Len(t, b.Fleet().Organisations, 2500)
		require.Equal(t, protocol.AlreadyHeld, b.put(claim("r59", protocol.NoOffset)))
	})
}

// bigOrganisations take more than one log entry in a snapshot and less than
// one in a change.
func bigOrganisations() []protocol.FleetObject {
	var objects []protocol.FleetObject
	for i := range 2500 {
		object := organisation(protocol.OrganisationID(fmt.Sprint("organisation-", i)), 1)
		object.Organisation.Name = string(bytes.Repeat([]byte("n"), 350))
		objects = append(objects, object)
	}
	return objects
}

// The newest snapshot is damaged, or its writer died before its manifest. An
// instance that used it would start with a torn state.
func TestDamagedSnapshotIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		a := startNode(t, log, "a")
		a.ready()
		applied, data, err := a.Snapshot()
		require.NoError(t, err)
		require.NoError(t, a.appendSnapshot(t.Context(), applied, data))

		chunk, err := a.appendSnapshotEntry(t.Context(), snapshotEntry{Chunk: data[:len(data)/2]})
		require.NoError(t, err)
		for _, manifest := range []snapshotManifest{
			{Applied: 999, Chunks: []protocol.Offset{chunk}, Bytes: len(data), Sum: 1},
			{Applied: 999, Chunks: []protocol.Offset{chunk}, Bytes: len(data) / 2, Sum: 1},
			{Applied: 999, Chunks: []protocol.Offset{77777}, Bytes: 5, Sum: 1},
			{Applied: 999, Chunks: []protocol.Offset{chunk}, Bytes: -1},
		} {
			_, err := a.appendSnapshotEntry(t.Context(), snapshotEntry{Manifest: &manifest})
			require.NoError(t, err)
		}
		_, err = log.Append(t.Context(), protocol.SnapshotStream, []byte{0xff})
		require.NoError(t, err)
		found, err := a.newestSnapshot(t.Context())
		require.NoError(t, err)
		require.Equal(t, data, found)
	})
}

// An instance is cut off so long that the entries it needs are gone, with a
// record of its own among them. It must not tell its submitter that the record
// did not run, and must go on from a peer's state.
func TestRecordInAGapMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, network := memlog.New(memlog.Options{}), newNetwork()
		a := startPeer(t, log, network, "a", "pnw-sea")
		b := startPeer(t, log, network, "b", "pnw-sea")
		a.ready()
		b.ready()
		network.setCut("a:7000", true)
		reads := func(operation, _ string, _ []byte) memlog.Fault {
			if operation == "read" {
				return memlog.Down
			}
			return memlog.None
		}
		a.link.set(reads)
		// The read that was under way still brings entries.
		pass(1500 * time.Millisecond)
		outcome := make(chan coordination.Outcome, 1)
		go func() { outcome <- a.Submit(t.Context(), claim("r", protocol.NoOffset)) }()
		await(t, 5*time.Second, "the claim at b", func() bool { return holdsNamed(b, "r") })
		pass(time.Minute)
		log.Trim(protocol.ControlStream, nextOf(t, log, protocol.ControlStream))
		network.setCut("a:7000", false)
		a.link.set(nil)
		got := <-outcome
		require.Equal(t, protocol.MayHaveRun, got.Run)
		require.ErrorIs(t, got.Err, ErrGap)
		a.ready()
		require.Equal(t, a.Applied(), b.Applied())
	})
}

func holdsNamed(n *node, resource protocol.Resource) bool {
	found := false
	n.View(func(s *replica.State) { _, _, found = s.Leases.Holder(resource) })
	return found
}

// The platform loses the end of its log and gives offsets out again. What an
// instance has replayed can't be taken back, so it stops following instead of
// letting configuration go back, and says so.
func TestShrunkLogIsNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, fresh := memlog.New(memlog.Options{}), memlog.New(memlog.Options{})
		a := startNode(t, old, "a")
		a.ready()
		a.put(change("1", protocol.NoOffset, organisation("o", 1)))
		version := a.Fleet().Version
		a.link.replace(fresh)
		pass(10 * time.Minute)
		require.False(t, a.LogUp())
		require.False(t, a.MayHold())
		require.Equal(t, version, a.Fleet().Version)
		require.Contains(t, a.Problem(), "the log lost entries")
	})
}

// laggingLog takes appends and answers reads from another, empty copy.
type laggingLog struct {
	external.Log
	copied external.Log
}

func (l laggingLog) Read(ctx context.Context, stream string, from protocol.Offset, limit int, wait time.Duration) (external.Page, error) {
	return l.copied.Read(ctx, stream, from, limit, wait)
}

// The platform answers for a while from a copy that lags behind what was read
// already. That is no loss, and the instance goes on when the copy has caught up.
func TestLaggingLogIsFollowedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		a := startNode(t, log, "a")
		a.ready()
		a.link.replace(laggingLog{Log: log, copied: memlog.New(memlog.Options{})})
		pass(time.Second)
		await(t, 20*time.Second, "log doubted", func() bool { return !a.LogUp() })
		a.link.replace(log)
		a.ready()
		require.Equal(t, protocol.Accepted, a.put(claim("r", protocol.NoOffset)))
	})
}

// An instance that is cut off takes a peer's state while its own read is still
// on its way. The page that arrives then must not be applied a second time.
func TestPageThatCrossesASnapshotIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := startTwo(t)
		a.link.pause(10 * time.Second)
		for i := range 5 {
			require.Equal(t, protocol.Accepted, b.put(claim(protocol.Resource(fmt.Sprint("r", i)), protocol.NoOffset)))
		}
		pass(5 * time.Second)
		_, data, err := b.Snapshot()
		require.NoError(t, err)
		a.link.setReadHook(func(page external.Page) (external.Page, func() error, bool) {
			return page, func() error { return a.InstallSnapshot(data) }, len(page.Entries) > 0
		})
		pass(10 * time.Second)
		a.ready()
		await(t, time.Second, "the same position", func() bool { return a.Applied() == b.Applied() })
		_, mine, err := a.Snapshot()
		require.NoError(t, err)
		_, theirs, err := b.Snapshot()
		require.NoError(t, err)
		require.Equal(t, theirs, mine)
	})
}

// A faulty writer appends bytes that are no frame. All readers must pass over
// them alike and go on.
func TestMalformedEntryStopsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a, b := startTwo(t)
		_, err := log.Append(t.Context(), protocol.ControlStream, []byte("no frame"))
		require.NoError(t, err)
		require.Equal(t, protocol.Accepted, a.put(claim("r", protocol.NoOffset)))
		await(t, time.Second, "the claim at b", func() bool { return holdsNamed(b, "r") })
	})
}

// An instance is paused for ten minutes, and a key is withdrawn meanwhile. Woken
// with requests waiting, it must not let them in by the keys of before.
func TestPausedInstanceIsNotCurrentWhenItWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := startTwo(t)
		require.Equal(t, protocol.Accepted, b.put(change("1", protocol.NoOffset, organisation("o", 1), keyOf("k", "o", "1"))))
		pass(time.Second)
		require.True(t, a.ConfigCurrent())
		a.link.pause(10 * time.Minute)
		pass(5 * time.Second)
		require.Equal(t, protocol.Accepted, b.put(protocol.Record{KeyWithdraw: &protocol.KeyWithdraw{Key: "k"}}))
		pass(10*time.Minute - 6*time.Second)
		require.True(t, a.KeyActive("k"), "the paused instance can't know yet")
		require.False(t, a.ConfigCurrent())
		await(t, 5*time.Second, "current again", a.ConfigCurrent)
		require.False(t, a.KeyActive("k"))
	})
}

// An instance that is cut off from the log for long goes on serving what it
// knows.
func TestCutOffInstanceStaysCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, fault := range []memlog.Fault{memlog.Down, memlog.Hang} {
			a := startNode(t, memlog.New(memlog.Options{}), "a")
			a.ready()
			a.link.set(func(string, string, []byte) memlog.Fault { return fault })
			for range 120 {
				pass(500 * time.Millisecond)
				require.True(t, a.ConfigCurrent())
			}
			a.kill()
		}
	})
}

func FuzzSnapshotEntry(f *testing.F) {
	seed, _ := protocol.Marshal(snapshotEntry{Manifest: &snapshotManifest{Chunks: []protocol.Offset{1}, Bytes: 5}})
	f.Add(seed)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		entry := decodeSnapshotEntry(data)
		log := memlog.New(memlog.Options{})
		_, err := log.Append(t.Context(), protocol.SnapshotStream, data)
		require.NoError(t, err)
		found, err := New(Options{Log: log}).newestSnapshot(t.Context())
		if err == nil {
			require.NotNil(t, entry.Manifest)
			require.Len(t, found, entry.Manifest.Bytes)
		}
	})
}
