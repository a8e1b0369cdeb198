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

// A caller uses the id of a file or job of another organisation. The response must
// be the same as for an id that does not exist.
func TestOrganisationsSeeOnlyTheirOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf, c, job := submitted(t, 1, 10, "1h", func(*testFleet) {})
		tf.requireEnd(c, job.ID, time.Minute, 10)
		service := tf.nodes[0].service
		_, refusal := service.GetBatch(tf.ctx, "dobrescu", job.ID)
		require.Equal(t, protocol.CodeNotFound, refusal.Code)
		_, refusal = service.CancelBatch(tf.ctx, "dobrescu", job.ID)
		require.Equal(t, protocol.CodeNotFound, refusal.Code)
		for _, id := range []string{job.InputFile, batch.OutputFileID(job.ID), batch.ErrorFileID(job.ID)} {
			_, refusal = service.File(tf.ctx, "dobrescu", id)
			require.Equal(t, protocol.CodeNotFound, refusal.Code, id)
			var out strings.Builder
			refusal, err := service.FileContent(tf.ctx, "dobrescu", id, &out)
			require.NoError(t, err)
			require.Equal(t, protocol.CodeNotFound, refusal.Code, id)
			require.Empty(t, out.String())
		}
		_, refusal = service.CreateBatch(tf.ctx, "dobrescu", batch.JobRequest{InputFile: job.InputFile, Endpoint: path, CompletionWindow: "1h"}, "")
		require.Equal(t, protocol.CodeNotFound, refusal.Code)
	})
}

// An idempotency key is reused for another input. Treating the request as a resend
// would lose the second job, so it must be rejected as a conflict.
func TestReusedKeyIsAConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf, c, first := submitted(t, 1, 10, "1h", func(*testFleet) {})
		other := c.upload(tf.nodes[0], 11)
		request := batch.JobRequest{InputFile: other.ID, Endpoint: path, CompletionWindow: "1h"}
		_, refusal := tf.nodes[0].service.CreateBatch(tf.ctx, cascadia, request, "key")
		require.Equal(t, protocol.CodeConflict, refusal.Code)
		// A request with the same input, uploaded again, is a resend.
		again := c.upload(tf.nodes[0], 10)
		request.InputFile = again.ID
		job, refusal := tf.nodes[0].service.CreateBatch(tf.ctx, cascadia, request, "key")
		require.Nil(t, refusal)
		require.Equal(t, first.ID, job.ID)
		// Without a key the id of the input file serves as the key.
		request.InputFile = other.ID
		one, refusal := tf.nodes[0].service.CreateBatch(tf.ctx, cascadia, request, "")
		require.Nil(t, refusal)
		two, refusal := tf.nodes[0].service.CreateBatch(tf.ctx, cascadia, request, "")
		require.Nil(t, refusal)
		require.Equal(t, one.ID, two.ID)
	})
}

// While the log is down, a submission must be rejected at once as not run, with
// the time after which to retry.
func TestSubmissionIsRefusedWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf, c, job := submitted(t, 1, 10, "1h", func(*testFleet) {})
		tf.outage(time.Minute)
		<-time.After(10 * time.Second)
		began := time.Now()
		_, refusal := tf.nodes[0].service.UploadFile(tf.ctx, cascadia, "f", strings.NewReader(string(input(3))))
		require.Equal(t, protocol.CodePlatformDown, refusal.Code)
		require.Equal(t, protocol.NotRun, refusal.Run)
		require.Positive(t, refusal.RetryAfter)
		require.Zero(t, time.Since(began))
		_, refusal = tf.nodes[0].service.GetBatch(tf.ctx, cascadia, job.ID)
		require.Nil(t, refusal)
		_, refusal = tf.nodes[0].service.GetBatch(tf.ctx, cascadia, "batch_unknown")
		require.Equal(t, protocol.CodePlatformDown, refusal.Code)
		<-time.After(2 * time.Minute)
		tf.requireEnd(c, job.ID, time.Minute, 10)
	})
}

// Every instance holds all jobs in memory. The number of jobs of an organisation
// must be limited, so that one organisation cannot exhaust the memory that all
// share.
func TestJobsOfAnOrganisationAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf, c, _ := submitted(t, 1, 10, "1h", func(tf *testFleet) {
			tf.opts.MaxJobs = 2
			tf.targets.itemTime = time.Hour
		})
		request := batch.JobRequest{InputFile: c.upload(tf.nodes[0], 11).ID, Endpoint: path, CompletionWindow: "1h"}
		second, refusal := tf.nodes[0].service.CreateBatch(tf.ctx, cascadia, request, "2")
		require.Nil(t, refusal)
		_, refusal = tf.nodes[0].service.CreateBatch(tf.ctx, cascadia, request, "3")
		require.Equal(t, protocol.CodeRateLimited, refusal.Code)
		require.Equal(t, protocol.NotRun, refusal.Run)
		again, refusal := tf.nodes[0].service.CreateBatch(tf.ctx, cascadia, request, "2")
		require.Nil(t, refusal)
		require.Equal(t, second.ID, again.ID)
	})
}
