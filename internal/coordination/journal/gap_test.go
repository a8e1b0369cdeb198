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

func nextOffset(t *testing.T, log external.Log, stream string) protocol.Offset {
	page, err := log.Read(t.Context(), stream, 1<<40, 1, 0)
	require.NoError(t, err)
	return page.Next
}

// A new instance starts when the first entries of the control stream have left
// retention, with no snapshot and no peer. If it started at the oldest retained
// entry, it would not know the keys and would run finished items again.
func TestStartWithoutTheBeginningIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		a := startNode(t, log, "a")
		a.waitReady()
		a.kill()
		log.Trim(protocol.ControlStream, 1)
		b := startNode(t, log, "b")
		sleep(time.Minute)
		require.False(t, b.isLoaded())
		require.Contains(t, b.Problem(), "the control stream begins at 1 and there is no snapshot")
		require.Equal(t, protocol.NotRun, b.Submit(t.Context(), leaseClaim("r", protocol.NoOffset)).Run)
	})
}

// A new instance starts long after the first entries have left retention. The
// snapshot that it needs is larger than one log entry.
func TestStartFromTheSnapshotStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		a := startNode(t, log, "a", func(o *Options) { o.Timings.SnapshotEntries = 50 })
		a.waitReady()
		a.mustSubmit(fleetChange("1", protocol.NoOffset, bigOrganisations()...))
		for i := range 60 {
			a.mustSubmit(leaseClaim(protocol.Resource(fmt.Sprint("r", i)), protocol.NoOffset))
		}
		await(t, 30*time.Second, "a snapshot in several chunks", func() bool { return nextOffset(t, log, protocol.SnapshotStream) >= 3 })
		data, err := a.latestSnapshot(t.Context())
		require.NoError(t, err)
		covered, err := replica.Restore(data)
		require.NoError(t, err)
		log.Trim(protocol.ControlStream, covered.Applied()+1)
		b := startNode(t, log, "b")
		b.waitReady()
		require.Len(t, b.Fleet().Organisations, 2500)
		require.Equal(t, protocol.AlreadyHeld, b.mustSubmit(leaseClaim("r59", protocol.NoOffset)))
	})
}

// bigOrganisations returns organisations that exceed one log entry in a
// snapshot but fit into one in a configuration change.
func bigOrganisations() []protocol.FleetObject {
	var objects []protocol.FleetObject
	for i := range 2500 {
		object := organisation(protocol.OrganisationID(fmt.Sprint("organisation-", i)), 1)
		object.Organisation.Name = string(bytes.Repeat([]byte("n"), 350))
		objects = append(objects, object)
	}
	return objects
}

// The newest snapshot is damaged, or its writer died before it appended the
// manifest. An instance that used this snapshot would start with incomplete
// state.
func TestDamagedSnapshotIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		a := startNode(t, log, "a")
		a.waitReady()
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
		found, err := a.latestSnapshot(t.Context())
		require.NoError(t, err)
		require.Equal(t, data, found)
	})
}

// An instance is isolated for so long that the entries it needs have left
// retention, among them a record of its own. It must not report that the record
// did not run, and must continue from a peer's state.
func TestRecordInAGapMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, network := memlog.New(memlog.Options{}), newNetwork()
		a := startPeer(t, log, network, "a", "pnw-sea")
		b := startPeer(t, log, network, "b", "pnw-sea")
		a.waitReady()
		b.waitReady()
		network.setDisconnected("a:7000", true)
		reads := func(operation, _ string, _ []byte) memlog.Fault {
			if operation == "read" {
				return memlog.Down
			}
			return memlog.None
		}
		a.logLink.setFault(reads)
		// The read that was in flight still returns entries.
		sleep(1500 * time.Millisecond)
		outcome := make(chan coordination.Outcome, 1)
		go func() { outcome <- a.Submit(t.Context(), leaseClaim("r", protocol.NoOffset)) }()
		await(t, 5*time.Second, "the claim at b", func() bool { return isHeld(b, "r") })
		sleep(time.Minute)
		log.Trim(protocol.ControlStream, nextOffset(t, log, protocol.ControlStream))
		network.setDisconnected("a:7000", false)
		a.logLink.setFault(nil)
		got := <-outcome
		require.Equal(t, protocol.MayHaveRun, got.Run)
		require.ErrorIs(t, got.Err, ErrGap)
		a.waitReady()
		require.Equal(t, a.Applied(), b.Applied())
	})
}

func isHeld(n *node, resource protocol.Resource) bool {
	found := false
	n.View(func(s *replica.State) { _, _, found = s.Leases.Holder(resource) })
	return found
}

// The log loses its most recent entries and assigns their offsets again. An
// instance can't undo the entries that it has replayed. It must stop following
// the log, so that its configuration does not return to an older version, and
// must report the problem.
func TestShrunkLogIsNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, fresh := memlog.New(memlog.Options{}), memlog.New(memlog.Options{})
		a := startNode(t, old, "a")
		a.waitReady()
		a.mustSubmit(fleetChange("1", protocol.NoOffset, organisation("o", 1)))
		version := a.Fleet().Version
		a.logLink.replace(fresh)
		sleep(10 * time.Minute)
		require.False(t, a.LogUp())
		require.False(t, a.MayHold())
		require.Equal(t, version, a.Fleet().Version)
		require.Contains(t, a.Problem(), "the log lost entries")
	})
}

// laggingLog sends appends to one log and reads from another, empty one.
type laggingLog struct {
	external.Log
	lagging external.Log
}

func (l laggingLog) Read(ctx context.Context, stream string, from protocol.Offset, limit int, wait time.Duration) (external.Page, error) {
	return l.lagging.Read(ctx, stream, from, limit, wait)
}

// The platform temporarily serves reads from a replica that lags behind the
// entries that the instance has read. No entry is lost, and the instance must
// continue once the replica has caught up.
func TestLaggingLogIsFollowedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		a := startNode(t, log, "a")
		a.waitReady()
		a.logLink.replace(laggingLog{Log: log, lagging: memlog.New(memlog.Options{})})
		sleep(time.Second)
		await(t, 20*time.Second, "log reported as down", func() bool { return !a.LogUp() })
		a.logLink.replace(log)
		a.waitReady()
		require.Equal(t, protocol.Accepted, a.mustSubmit(leaseClaim("r", protocol.NoOffset)))
	})
}

// An instance that is isolated from the log installs a peer's snapshot while
// its own read is in flight. The entries of the page that then arrives must not
// be applied a second time.
func TestPageReadBeforeASnapshotInstallIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := startTwo(t)
		a.logLink.suspend(10 * time.Second)
		for i := range 5 {
			require.Equal(t, protocol.Accepted, b.mustSubmit(leaseClaim(protocol.Resource(fmt.Sprint("r", i)), protocol.NoOffset)))
		}
		sleep(5 * time.Second)
		_, data, err := b.Snapshot()
		require.NoError(t, err)
		a.logLink.setReadHook(func(page external.Page) (external.Page, func() error, bool) {
			return page, func() error { return a.InstallSnapshot(data) }, len(page.Entries) > 0
		})
		sleep(10 * time.Second)
		a.waitReady()
		await(t, time.Second, "the same position", func() bool { return a.Applied() == b.Applied() })
		_, mine, err := a.Snapshot()
		require.NoError(t, err)
		_, theirs, err := b.Snapshot()
		require.NoError(t, err)
		require.Equal(t, theirs, mine)
	})
}

// A faulty writer appends bytes that are not a frame. All readers must skip the
// entry and continue.
func TestMalformedEntryIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a, b := startTwo(t)
		_, err := log.Append(t.Context(), protocol.ControlStream, []byte("no frame"))
		require.NoError(t, err)
		require.Equal(t, protocol.Accepted, a.mustSubmit(leaseClaim("r", protocol.NoOffset)))
		await(t, time.Second, "the claim at b", func() bool { return isHeld(b, "r") })
	})
}

// An instance is paused for ten minutes, and a key is withdrawn in that time.
// When it resumes with requests waiting, it must not admit them with the keys
// from before the pause.
func TestPausedInstanceIsNotCurrentWhenItWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := startTwo(t)
		require.Equal(t, protocol.Accepted, b.mustSubmit(fleetChange("1", protocol.NoOffset, organisation("o", 1), keyObject("k", "o", "1"))))
		sleep(time.Second)
		require.True(t, a.ConfigCurrent())
		a.logLink.suspend(10 * time.Minute)
		sleep(5 * time.Second)
		require.Equal(t, protocol.Accepted, b.mustSubmit(protocol.Record{KeyWithdraw: &protocol.KeyWithdraw{Key: "k"}}))
		sleep(10*time.Minute - 6*time.Second)
		require.True(t, a.KeyActive("k"), "the paused instance has not read the withdrawal yet")
		require.False(t, a.ConfigCurrent())
		await(t, 5*time.Second, "current again", a.ConfigCurrent)
		require.False(t, a.KeyActive("k"))
	})
}

// Guards against an instance that rejects valid keys after its start, because it counts as
// current before it has replayed the control stream.
func TestStartedInstanceIsNotCurrentBeforeItsFirstRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, a, _ := startTwo(t)
		require.Equal(t, protocol.Accepted, a.mustSubmit(fleetChange("1", protocol.NoOffset, organisation("o", 1), keyObject("k", "o", "1"))))
		delayed := func(page external.Page) (external.Page, func() error, bool) {
			return page, func() error { sleep(time.Second); return nil }, len(page.Entries) > 1
		}
		c := startNode(t, log, "c", func(opts *Options) { opts.Log.(*logLink).setReadHook(delayed) })
		await(t, 5*time.Second, "loaded", c.isLoaded)
		sleep(500 * time.Millisecond)
		require.False(t, c.KeyActive("k"), "nothing is replayed yet")
		require.False(t, c.ConfigCurrent())
		await(t, 5*time.Second, "current", c.ConfigCurrent)
		require.True(t, c.KeyActive("k"))
	})
}

// An instance that is isolated from the log for a long time must continue to
// serve with the configuration that it has.
func TestIsolatedInstanceKeepsConfigCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, fault := range []memlog.Fault{memlog.Down, memlog.Hang} {
			a := startNode(t, memlog.New(memlog.Options{}), "a")
			a.waitReady()
			a.logLink.setFault(func(string, string, []byte) memlog.Fault { return fault })
			for range 120 {
				sleep(500 * time.Millisecond)
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
		found, err := New(Options{Log: log}).latestSnapshot(t.Context())
		if err == nil {
			require.NotNil(t, entry.Manifest)
			require.Len(t, found, entry.Manifest.Bytes)
		}
	})
}
