package faulttest

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/protocol"
)

// A caller uses the id of another organisation's file or job. It must look as
// if they did not exist.
func TestOrganisationsSeeOnlyTheirOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c, job := submitted(t, 1, 10, "1h", func(*world) {})
		w.requireEnd(c, job.ID, time.Minute, 10)
		service := w.nodes[0].service
		_, refusal := service.GetBatch(w.ctx, "dobrescu", job.ID)
		require.Equal(t, protocol.CodeNotFound, refusal.Code)
		_, refusal = service.CancelBatch(w.ctx, "dobrescu", job.ID)
		require.Equal(t, protocol.CodeNotFound, refusal.Code)
		for _, id := range []string{job.InputFile, batch.OutputFileID(job.ID), batch.ErrorFileID(job.ID)} {
			_, refusal = service.File(w.ctx, "dobrescu", id)
			require.Equal(t, protocol.CodeNotFound, refusal.Code, id)
			var out strings.Builder
			refusal, err := service.FileContent(w.ctx, "dobrescu", id, &out)
			require.NoError(t, err)
			require.Equal(t, protocol.CodeNotFound, refusal.Code, id)
			require.Empty(t, out.String())
		}
		_, refusal = service.CreateBatch(w.ctx, "dobrescu", batch.JobRequest{InputFile: job.InputFile, Endpoint: path, CompletionWindow: "1h"}, "")
		require.Equal(t, protocol.CodeNotFound, refusal.Code)
	})
}

// An idempotency key is used again for another input. Taking it for a resend
// would lose the second job; it is refused as a conflict.
func TestReusedKeyIsAConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c, first := submitted(t, 1, 10, "1h", func(*world) {})
		other := c.upload(w.nodes[0], 11)
		request := batch.JobRequest{InputFile: other.ID, Endpoint: path, CompletionWindow: "1h"}
		_, refusal := w.nodes[0].service.CreateBatch(w.ctx, cascadia, request, "key")
		require.Equal(t, protocol.CodeConflict, refusal.Code)
		// The same input uploaded anew is a resend.
		again := c.upload(w.nodes[0], 10)
		request.InputFile = again.ID
		job, refusal := w.nodes[0].service.CreateBatch(w.ctx, cascadia, request, "key")
		require.Nil(t, refusal)
		require.Equal(t, first.ID, job.ID)
		// Without a key the file stands for it.
		request.InputFile = other.ID
		one, refusal := w.nodes[0].service.CreateBatch(w.ctx, cascadia, request, "")
		require.Nil(t, refusal)
		two, refusal := w.nodes[0].service.CreateBatch(w.ctx, cascadia, request, "")
		require.Nil(t, refusal)
		require.Equal(t, one.ID, two.ID)
	})
}

// The log is down. A submission must be refused at once, truly as not run, with
// the time to come back.
func TestSubmissionIsRefusedWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c, job := submitted(t, 1, 10, "1h", func(*world) {})
		w.outage(time.Minute)
		<-time.After(10 * time.Second)
		began := time.Now()
		_, refusal := w.nodes[0].service.UploadFile(w.ctx, cascadia, "f", strings.NewReader(string(input(3))))
		require.Equal(t, protocol.CodePlatformDown, refusal.Code)
		require.Equal(t, protocol.NotRun, refusal.Run)
		require.Positive(t, refusal.RetryAfter)
		require.Zero(t, time.Since(began))
		_, refusal = w.nodes[0].service.GetBatch(w.ctx, cascadia, job.ID)
		require.Nil(t, refusal)
		_, refusal = w.nodes[0].service.GetBatch(w.ctx, cascadia, "batch_unknown")
		require.Equal(t, protocol.CodePlatformDown, refusal.Code)
		<-time.After(2 * time.Minute)
		w.requireEnd(c, job.ID, time.Minute, 10)
	})
}

// An organisation submits jobs without end. Every instance holds them all in
// memory, so that they must be refused before the others suffer.
func TestJobsOfAnOrganisationAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c, _ := submitted(t, 1, 10, "1h", func(w *world) {
			w.opts.MaxJobs = 2
			w.targets.itemTime = time.Hour
		})
		request := batch.JobRequest{InputFile: c.upload(w.nodes[0], 11).ID, Endpoint: path, CompletionWindow: "1h"}
		second, refusal := w.nodes[0].service.CreateBatch(w.ctx, cascadia, request, "2")
		require.Nil(t, refusal)
		_, refusal = w.nodes[0].service.CreateBatch(w.ctx, cascadia, request, "3")
		require.Equal(t, protocol.CodeRateLimited, refusal.Code)
		require.Equal(t, protocol.NotRun, refusal.Run)
		again, refusal := w.nodes[0].service.CreateBatch(w.ctx, cascadia, request, "2")
		require.Nil(t, refusal)
		require.Equal(t, second.ID, again.ID)
	})
}
