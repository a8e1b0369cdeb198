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

// submitted starts a fleet and a job in it.
func submitted(t *testing.T, count, items int, window string, setup func(*world)) (*world, *client, batch.Job) {
	w := newWorldWith(t, count, setup)
	c := newClient(w)
	job, err := c.submit("key", items, window)
	require.NoError(t, err)
	return w, c, job
}

// requireEnd waits for the end of a job and reads its lines.
func (w *world) requireEnd(c *client, id protocol.JobID, limit time.Duration, items int) (good, failed int, lines []line) {
	w.t.Helper()
	w.await(limit, "end of the job", func() bool { return w.ended(id) })
	v := &verdicts{}
	lines = w.readLines(v, c, id)
	good, failed = checkLines(v, lines, items)
	require.Empty(w.t, v.wrong)
	return good, failed, lines
}

// A burst of online traffic takes every batch place back, again and again. The
// items must go on later from where they stopped: work is not lost, and being
// pushed aside is no failed attempt.
func TestRevokedItemsResumeWhereTheyStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c, job := submitted(t, 1, 64, "1h", func(w *world) { w.targets.itemTime = 10 * time.Second })
		for range 8 {
			<-time.After(1500 * time.Millisecond)
			w.nodes[0].slots.revokeAll()
		}
		good, _, _ := w.requireEnd(c, job.ID, 5*time.Minute, 64)
		require.Equal(t, 64, good)
		require.Equal(t, 64*10*time.Second, w.targets.spent())
	})
}

// A few items can never be done. They must not hold up the rest, and must end
// as failed results, or the job would never end.
func TestStragglersEndAsFailedResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c, job := submitted(t, 1, 300, "1h", func(w *world) {
			for _, i := range []int{0, 17, 299} {
				w.targets.never[customID(i)] = true
			}
		})
		good, failed, lines := w.requireEnd(c, job.ID, 5*time.Minute, 300)
		require.Equal(t, 297, good)
		require.Equal(t, 3, failed)
		require.Equal(t, 5, w.targets.count(customID(17)))
		require.Contains(t, []string{customID(0), customID(17), customID(299)}, w.targets.last())
		for _, l := range lines {
			if l.failed {
				require.Equal(t, string(protocol.CodeTargetFailed), l.Error.Code)
			}
		}
	})
}

// The deadline comes before the items are done. What is done stays readable;
// the rest is told item by item, and nothing runs on.
func TestDeadlineEndsTheJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c, job := submitted(t, 1, 600, "20s", func(*world) {})
		good, failed, lines := w.requireEnd(c, job.ID, time.Minute, 600)
		ended := time.Now()
		view, _ := w.jobOf(w.nodes[0], job.ID)
		require.Equal(t, ledger.Expired, view.Status)
		require.Greater(t, good, 200)
		require.Equal(t, view.Completed, good)
		require.Equal(t, 600-good, failed)
		require.Equal(t, "batch_expired", lines[len(lines)-1].Error.Code)
		<-time.After(10 * time.Second)
		require.Zero(t, w.targets.beganAfter(ended))
	})
}

// An instance leaves. Its items in flight finish, its results are kept, and the
// others go on with its chunks at once instead of waiting for its session.
func TestDrainGivesChunksBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c, job := submitted(t, 2, 1024, "1h", func(w *world) { w.targets.itemTime = 2 * time.Second })
		leaver := w.nodes[0]
		w.await(time.Minute, "work at both", func() bool {
			return len(w.held(w.nodes[0])) > 0 && len(w.held(w.nodes[1])) > 0
		})
		<-time.After(7 * time.Second)
		began := time.Now()
		leaver.executor.Drain(w.ctx)
		require.Less(t, time.Since(began), 5*time.Second)
		require.Empty(t, w.held(leaver))
		require.NoError(t, leaver.Close(w.ctx))
		leaver.crash()
		good, _, _ := w.requireEnd(c, job.ID, 10*time.Minute, 1024)
		require.Equal(t, 1024, good)
		for i := range 1024 {
			require.Equal(t, 1, w.targets.count(customID(i)), customID(i))
		}
	})
}

// The log is down for minutes. Claimed items go on, and their results wait in a
// bounded buffer. When it is full, no more items start: they would run for
// results that can't be kept.
func TestOutageKeepsResultsWithinBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c, job := submitted(t, 1, 2000, "1h", func(w *world) {
			w.opts.BufferBytes = 30_000
			w.opts.MaxHeldChunks = 8
		})
		<-time.After(5 * time.Second)
		before := w.targets.total()
		w.outage(3 * time.Minute)
		<-time.After(2 * time.Minute)
		inOutage := w.targets.total() - before
		require.Greater(t, inOutage, 100)
		require.Less(t, inOutage, 300)
		<-time.After(30 * time.Second)
		require.Equal(t, inOutage, w.targets.total()-before)
		good, _, _ := w.requireEnd(c, job.ID, 10*time.Minute, 2000)
		require.Equal(t, 2000, good)
		require.Equal(t, 2000, w.targets.total())
	})
}

// A job outlasts the platform's retention. Its input and results must be
// carried forward, or items would be lost that were accepted.
func TestDataOutlivesRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c, job := submitted(t, 1, 600, "3h", func(w *world) {
			w.log = memlog.New(memlog.Options{Retention: 20 * time.Minute})
			w.places = 2
			w.targets.itemTime = 10 * time.Second
			w.opts.FlushAfter = time.Minute
			w.opts.RefreshAge = 5 * time.Minute
			w.opts.RefreshInterval = time.Minute
		})
		<-time.After(90 * time.Minute)
		good, _, _ := w.requireEnd(c, job.ID, time.Minute, 600)
		require.Equal(t, 600, good)
		require.Equal(t, 600, w.targets.total())
	})
}

// Results are kept for a stated time. After it the job is forgotten, and its
// memory with it.
func TestJobIsForgottenAfterItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c, job := submitted(t, 2, 10, "1h", func(w *world) { w.opts.ResultTTL = time.Minute })
		w.requireEnd(c, job.ID, time.Minute, 10)
		got, refusal := w.nodes[1].service.GetBatch(w.ctx, cascadia, job.ID)
		require.Nil(t, refusal)
		require.Equal(t, time.Unix(got.EndedAt, 0).UTC().Add(time.Minute), got.ResultsExpireAt)
		<-time.After(2 * time.Minute)
		_, refusal = w.nodes[1].service.GetBatch(w.ctx, cascadia, job.ID)
		require.Equal(t, protocol.CodeNotFound, refusal.Code)
	})
}

// One organisation sends many large jobs, another a small one a little later.
// The small one must not wait until the large ones are done.
func TestOneOrganisationDoesNotDisplaceAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _, _ := submitted(t, 2, 3000, "24h", func(*world) {})
		<-time.After(5 * time.Second)
		small := newClient(w)
		small.organisation = dobrescu
		job, err := small.submit("key", 200, "24h")
		require.NoError(t, err)
		began := time.Now()
		w.await(5*time.Minute, "end of the small job", func() bool { return w.ended(job.ID) })
		t.Logf("small job of 200 items ended %s after its submission", time.Since(began))
		require.Less(t, time.Since(began), time.Minute)
	})
}

// An instance is cut from the log while others are not. It can't know that, so
// it goes on with the chunks it holds; another takes them when its session has
// ended. Its results are reported under its next session and lose, item by
// item, to those that were first. What ran twice is bounded by what it held.
func TestInstanceCutFromTheLogLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c, job := submitted(t, 2, 3000, "1h", func(*world) {})
		<-time.After(4 * time.Second)
		cut := w.nodes[0]
		held := len(w.held(cut)) * protocol.MaxChunkItems
		cut.link.setDown(true)
		<-time.After(time.Minute)
		require.False(t, cut.MayHold())
		cut.link.setDown(false)
		good, _, _ := w.requireEnd(c, job.ID, 10*time.Minute, 3000)
		require.Equal(t, 3000, good)
		twice := w.targets.total() - 3000
		t.Logf("%d items ran twice, %d were held", twice, held)
		require.LessOrEqual(t, twice, held)
	})
}

// The cancel of a caller reaches executors with the next frame and stops items
// in flight.
func TestCancelStopsItemsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c, job := submitted(t, 2, 100, "1h", func(w *world) { w.targets.itemTime = time.Hour })
		<-time.After(5 * time.Second)
		_, err := c.cancel(job.ID)
		require.NoError(t, err)
		<-time.After(time.Second)
		for _, n := range w.nodes {
			require.Zero(t, n.executor.Stats().Running)
			require.Zero(t, n.executor.Stats().HeldChunks)
		}
		_, failed, lines := w.requireEnd(c, job.ID, time.Second, 100)
		require.Equal(t, 100, failed)
		require.Equal(t, "batch_cancelled", lines[0].Error.Code)
	})
}

// removal publishes the removal of an object.
func (w *world) removal(ref protocol.FleetRef) {
	var version protocol.Offset
	w.nodes[0].View(func(state *replica.State) { version = state.Fleet.Fleet().Version })
	outcome := w.nodes[0].Submit(w.ctx, protocol.Record{FleetChange: &protocol.FleetChange{
		ChangeID: "removal", BasedOn: version, Operator: "test", Remove: []protocol.FleetRef{ref},
	}})
	require.True(w.t, outcome.Accepted(), "%+v", outcome)
}

// A model is withdrawn from the configuration while its items wait. They are
// tried again for a while and then end as failed results.
func TestItemsOfAnUnknownModelEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c, job := submitted(t, 1, 40, "1h", func(w *world) {
			w.places = 4
			w.targets.itemTime = 5 * time.Second
		})
		<-time.After(7 * time.Second)
		w.removal(protocol.FleetRef{Model: model})
		good, failed, _ := w.requireEnd(c, job.ID, 5*time.Minute, 40)
		require.Positive(t, good)
		require.Equal(t, 40-good, failed)
	})
}

// An organisation is removed while its job runs. Nothing more of it starts, and
// at the deadline the rest is told as expired.
func TestRemovedOrganisationStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c, job := submitted(t, 2, 400, "2m", func(*world) {})
		<-time.After(4 * time.Second)
		w.removal(protocol.FleetRef{Organisation: cascadia})
		<-time.After(time.Second)
		began := w.targets.total()
		good, failed, _ := w.requireEnd(c, job.ID, 3*time.Minute, 400)
		require.Equal(t, began, w.targets.total())
		require.Equal(t, began, good)
		require.Equal(t, 400-good, failed)
	})
}

// Items with long bodies are claimed. What an instance holds of them must stay
// within its memory, whatever their number.
func TestLongItemsAreHeldWithinBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c, _ := submitted(t, 1, 10, "1h", func(w *world) {
			w.opts.MaxHeldBytes = 1 << 20
			w.opts.MaxHeldChunks = 8
		})
		padding := `,"p":"` + strings.Repeat("x", 200_000) + `"}}`
		long := strings.ReplaceAll(string(input(60)), "}]}}", "}]"+padding)
		file, refusal := w.nodes[0].service.UploadFile(w.ctx, cascadia, "long", strings.NewReader(long))
		require.Nil(t, refusal)
		job, refusal := w.nodes[0].service.CreateBatch(w.ctx, cascadia, batch.JobRequest{InputFile: file.ID, Endpoint: path, CompletionWindow: "1h"}, "long")
		require.Nil(t, refusal)
		most := 0
		for !w.ended(job.ID) {
			stats := w.nodes[0].executor.Stats()
			most = max(most, stats.Waiting+stats.Running)
			<-time.After(100 * time.Millisecond)
		}
		t.Logf("at most %d items of 200 kB held", most)
		require.Less(t, most, 30)
		_, _, _ = w.requireEnd(c, job.ID, time.Second, 60)
	})
}
