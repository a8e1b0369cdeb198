package faulttest

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/memlog"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/replica"
)

// submitted starts a fleet and submits a job.
func submitted(t *testing.T, count, items int, window string, setup func(*testFleet)) (*testFleet, *client, batch.Job) {
	tf := newTestFleetWith(t, count, setup)
	c := newClient(tf)
	job, err := c.submit("key", items, window)
	require.NoError(t, err)
	return tf, c, job
}

// requireEnd waits for the end of a job, reads its result lines and checks them.
func (tf *testFleet) requireEnd(c *client, id protocol.JobID, limit time.Duration, items int) (good, failed int, lines []line) {
	tf.t.Helper()
	tf.await(limit, "end of the job", func() bool { return tf.ended(id) })
	v := &violations{}
	lines = tf.readLines(v, c, id)
	good, failed = checkLines(v, lines, items)
	require.Empty(tf.t, v.messages)
	return good, failed, lines
}

// Online traffic revokes all batch slots eight times, 1.5 s apart. The items must
// resume from where they stopped: no work may be lost, and a revoked slot must not
// count as a failed attempt.
func TestRevokedItemsResumeWhereTheyStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf, c, job := submitted(t, 1, 64, "1h", func(tf *testFleet) { tf.targets.itemTime = 10 * time.Second })
		for range 8 {
			<-time.After(1500 * time.Millisecond)
			tf.nodes[0].slots.revokeAll()
		}
		good, _, _ := tf.requireEnd(c, job.ID, 5*time.Minute, 64)
		require.Equal(t, 64, good)
		require.Equal(t, 64*10*time.Second, tf.targets.totalWork())
	})
}

// Three items always fail. They must not delay the other items, and must end as
// failed results after five attempts. Otherwise the job would never end.
func TestStragglersEndAsFailedResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf, c, job := submitted(t, 1, 300, "1h", func(tf *testFleet) {
			for _, i := range []int{0, 17, 299} {
				tf.targets.alwaysFail[customID(i)] = true
			}
		})
		good, failed, lines := tf.requireEnd(c, job.ID, 5*time.Minute, 300)
		require.Equal(t, 297, good)
		require.Equal(t, 3, failed)
		require.Equal(t, 5, tf.targets.count(customID(17)))
		require.Contains(t, []string{customID(0), customID(17), customID(299)}, tf.targets.last())
		for _, l := range lines {
			if l.failed {
				require.Equal(t, string(protocol.CodeTargetFailed), l.Error.Code)
			}
		}
	})
}

// The deadline passes before all items are done. Completed results must stay
// readable, every other item must be reported as expired, and no item may start
// afterwards.
func TestDeadlineEndsTheJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf, c, job := submitted(t, 1, 600, "20s", func(*testFleet) {})
		good, failed, lines := tf.requireEnd(c, job.ID, time.Minute, 600)
		ended := time.Now()
		view, _ := tf.jobOf(tf.nodes[0], job.ID)
		require.Equal(t, ledger.Expired, view.Status)
		require.Greater(t, good, 200)
		require.Equal(t, view.Completed, good)
		require.Equal(t, 600-good, failed)
		require.Equal(t, "batch_expired", lines[len(lines)-1].Error.Code)
		<-time.After(10 * time.Second)
		require.Zero(t, tf.targets.beganAfter(ended))
	})
}

// An instance drains. Its items in flight must finish, its results must be kept,
// and the other instance must take over its chunks at once instead of waiting
// until the session ends.
func TestDrainGivesChunksBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf, c, job := submitted(t, 2, 1024, "1h", func(tf *testFleet) { tf.targets.itemTime = 2 * time.Second })
		leaver := tf.nodes[0]
		tf.await(time.Minute, "chunks at both instances", func() bool {
			return len(tf.chunksHeldBy(tf.nodes[0])) > 0 && len(tf.chunksHeldBy(tf.nodes[1])) > 0
		})
		<-time.After(7 * time.Second)
		began := time.Now()
		leaver.executor.Drain(tf.ctx)
		require.Less(t, time.Since(began), 5*time.Second)
		require.Empty(t, tf.chunksHeldBy(leaver))
		require.NoError(t, leaver.Close(tf.ctx))
		leaver.crash()
		good, _, _ := tf.requireEnd(c, job.ID, 10*time.Minute, 1024)
		require.Equal(t, 1024, good)
		for i := range 1024 {
			require.Equal(t, 1, tf.targets.count(customID(i)), customID(i))
		}
	})
}

// The log is down for 3 minutes. Claimed items keep running, and their results
// wait in a bounded buffer. When the buffer is full, no more items may start,
// because their results could not be kept.
func TestOutageKeepsResultsWithinBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf, c, job := submitted(t, 1, 2000, "1h", func(tf *testFleet) {
			tf.opts.BufferBytes = 30_000
			tf.opts.MaxHeldChunks = 8
		})
		<-time.After(5 * time.Second)
		before := tf.targets.total()
		tf.outage(3 * time.Minute)
		<-time.After(2 * time.Minute)
		inOutage := tf.targets.total() - before
		require.Greater(t, inOutage, 100)
		require.Less(t, inOutage, 300)
		<-time.After(30 * time.Second)
		require.Equal(t, inOutage, tf.targets.total()-before)
		good, _, _ := tf.requireEnd(c, job.ID, 10*time.Minute, 2000)
		require.Equal(t, 2000, good)
		require.Equal(t, 2000, tf.targets.total())
	})
}

// A job takes longer than the retention of the platform. Its input and results
// must be appended again before they expire. Otherwise accepted items are lost.
func TestDataOutlivesRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf, c, job := submitted(t, 1, 600, "3h", func(tf *testFleet) {
			tf.log = memlog.New(memlog.Options{Retention: 20 * time.Minute})
			tf.slotsPerInstance = 2
			tf.targets.itemTime = 10 * time.Second
			tf.opts.FlushAfter = time.Minute
			tf.opts.RefreshAge = 5 * time.Minute
			tf.opts.RefreshInterval = time.Minute
		})
		<-time.After(90 * time.Minute)
		good, _, _ := tf.requireEnd(c, job.ID, time.Minute, 600)
		require.Equal(t, 600, good)
		require.Equal(t, 600, tf.targets.total())
	})
}

// A job must be deleted when its results have reached their retention time, which
// frees its memory.
func TestJobIsForgottenAfterItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf, c, job := submitted(t, 2, 10, "1h", func(tf *testFleet) { tf.opts.ResultTTL = time.Minute })
		tf.requireEnd(c, job.ID, time.Minute, 10)
		got, refusal := tf.nodes[1].service.GetBatch(tf.ctx, cascadia, job.ID)
		require.Nil(t, refusal)
		require.Equal(t, time.Unix(got.EndedAt, 0).UTC().Add(time.Minute), got.ResultsExpireAt)
		<-time.After(2 * time.Minute)
		_, refusal = tf.nodes[1].service.GetBatch(tf.ctx, cascadia, job.ID)
		require.Equal(t, protocol.CodeNotFound, refusal.Code)
	})
}

// One organisation submits a large job, and another a small job 5 s later. The
// small job must not wait until the large one is done.
func TestOneOrganisationDoesNotDisplaceAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf, _, _ := submitted(t, 2, 3000, "24h", func(*testFleet) {})
		<-time.After(5 * time.Second)
		small := newClient(tf)
		small.organisation = dobrescu
		job, err := small.submit("key", 200, "24h")
		require.NoError(t, err)
		began := time.Now()
		tf.await(5*time.Minute, "end of the small job", func() bool { return tf.ended(job.ID) })
		t.Logf("small job of 200 items ended %s after its submission", time.Since(began))
		require.Less(t, time.Since(began), time.Minute)
	})
}

// One instance cannot reach the log while another can. The isolated instance does
// not know this and keeps running the chunks it holds. The other instance takes
// the chunks over when the session has ended. The isolated instance reports its
// results under its next session, and the first result of each item counts. No
// more items may run twice than the instance held.
func TestInstanceCutFromTheLogLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf, c, job := submitted(t, 2, 3000, "1h", func(*testFleet) {})
		<-time.After(4 * time.Second)
		isolated := tf.nodes[0]
		held := len(tf.chunksHeldBy(isolated)) * protocol.MaxChunkItems
		isolated.link.setDown(true)
		<-time.After(time.Minute)
		require.False(t, isolated.MayHold())
		isolated.link.setDown(false)
		good, _, _ := tf.requireEnd(c, job.ID, 10*time.Minute, 3000)
		require.Equal(t, 3000, good)
		twice := tf.targets.total() - 3000
		t.Logf("%d items ran twice, %d were held", twice, held)
		require.LessOrEqual(t, twice, held)
	})
}

// A cancel must stop the items in flight on all instances within a second.
func TestCancelStopsItemsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf, c, job := submitted(t, 2, 100, "1h", func(tf *testFleet) { tf.targets.itemTime = time.Hour })
		<-time.After(5 * time.Second)
		_, err := c.cancel(job.ID)
		require.NoError(t, err)
		<-time.After(time.Second)
		for _, n := range tf.nodes {
			require.Zero(t, n.executor.Stats().Running)
			require.Zero(t, n.executor.Stats().HeldChunks)
		}
		_, failed, lines := tf.requireEnd(c, job.ID, time.Second, 100)
		require.Equal(t, 100, failed)
		require.Equal(t, "batch_cancelled", lines[0].Error.Code)
	})
}

// removeObject publishes a configuration change that removes an object.
func (tf *testFleet) removeObject(ref protocol.FleetRef) {
	var version protocol.Offset
	tf.nodes[0].View(func(state *replica.State) { version = state.Fleet.Fleet().Version })
	outcome := tf.nodes[0].Submit(tf.ctx, protocol.Record{FleetChange: &protocol.FleetChange{
		ChangeID: "removal", BasedOn: version, Operator: "test", Remove: []protocol.FleetRef{ref},
	}})
	require.True(tf.t, outcome.Accepted(), "%+v", outcome)
}

// A model is removed from the configuration while its items wait. The items must
// be retried and then end as failed results, within 5 minutes.
func TestItemsOfAnUnknownModelEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf, c, job := submitted(t, 1, 40, "1h", func(tf *testFleet) {
			tf.slotsPerInstance = 4
			tf.targets.itemTime = 5 * time.Second
		})
		<-time.After(7 * time.Second)
		tf.removeObject(protocol.FleetRef{Model: model})
		good, failed, _ := tf.requireEnd(c, job.ID, 5*time.Minute, 40)
		require.Positive(t, good)
		require.Equal(t, 40-good, failed)
	})
}

// An organisation is removed while its job runs. No more items of the job may
// start, and at the deadline the remaining items must end as expired.
func TestRemovedOrganisationStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf, c, job := submitted(t, 2, 400, "2m", func(*testFleet) {})
		<-time.After(4 * time.Second)
		tf.removeObject(protocol.FleetRef{Organisation: cascadia})
		<-time.After(time.Second)
		began := tf.targets.total()
		good, failed, _ := tf.requireEnd(c, job.ID, 3*time.Minute, 400)
		require.Equal(t, began, tf.targets.total())
		require.Equal(t, began, good)
		require.Equal(t, 400-good, failed)
	})
}

// Items with bodies of 200 kB are claimed. The number that an instance holds must
// be limited by their size in memory.
func TestLongItemsAreHeldWithinBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf, c, _ := submitted(t, 1, 10, "1h", func(tf *testFleet) {
			tf.opts.MaxHeldBytes = 1 << 20
			tf.opts.MaxHeldChunks = 8
		})
		padding := `,"p":"` + strings.Repeat("x", 200_000) + `"}}`
		long := strings.ReplaceAll(string(input(60)), "}]}}", "}]"+padding)
		file, refusal := tf.nodes[0].service.UploadFile(tf.ctx, cascadia, "long", strings.NewReader(long))
		require.Nil(t, refusal)
		job, refusal := tf.nodes[0].service.CreateBatch(tf.ctx, cascadia, batch.JobRequest{InputFile: file.ID, Endpoint: path, CompletionWindow: "1h"}, "long")
		require.Nil(t, refusal)
		most := 0
		for !tf.ended(job.ID) {
			stats := tf.nodes[0].executor.Stats()
			most = max(most, stats.Waiting+stats.Running)
			<-time.After(100 * time.Millisecond)
		}
		t.Logf("at most %d items of 200 kB held", most)
		require.Less(t, most, 30)
		_, _, _ = tf.requireEnd(c, job.ID, time.Second, 60)
	})
}
