package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A job is accepted and can't be read for a minute. The reader's lines say that the owner had
// not loaded the partition; why it had not is in the log of another instance, which never
// names the job. Engineers who have only the id of the job must be led there.
func TestExplainsJobThatCannotBeReadFromTheStore(t *testing.T) {
	logs := readLogs(t, map[string]string{"reader": `
at=2026-12-03T10:00:10Z event=job_read_from_store job=j partition=7 call=results why=owner_not_loaded owner=o owner_err=null outcome=not_done took_ms=800 whole=true from=0 next=0 err="no answer: context deadline exceeded"
at=2026-12-03T10:00:11Z event=store_calls call=newest topic=keyed.jobs done=1 not_performed=2 throttled=0 timed_out=3 failed=0 not_connected=0 calls=6 received_bytes=1024 cut_off_bytes=2048 unused_page_bytes=1024 longest_ms=800
at=2026-12-03T10:00:12Z event=job_read_from_store job=j partition=7 call=body why=owner_not_reached owner=o owner_err="dial: refused" outcome=missing took_ms=2 whole=false from=3 next=3 err=null
`, "owner": `
at=2026-12-03T10:00:09Z event=jobs_load_failed partition=7 owned=true pages=2 records=9 bytes=2048 took_ms=1500 err="platform did not perform the operation"
at=2026-12-03T10:00:09Z event=store_calls call=newest topic=keyed.jobs done=2 not_performed=1 calls=3 received_bytes=2048 cut_off_bytes=0 unused_page_bytes=2048 longest_ms=20
at=2026-12-03T10:00:10Z event=jobs_load_failed partition=7 owned=true pages=0 records=0 bytes=0 took_ms=20 err="platform did not perform the operation"
at=2026-12-03T10:00:11Z event=store_calls call=newest topic=keyed.jobs done=0 not_performed=1 calls=1 received_bytes=0 cut_off_bytes=0 unused_page_bytes=0 longest_ms=20
at=2026-12-03T10:00:13Z event=jobs_loaded partition=7 jobs=3 next=40 owned=true records=20 took_ms=900
`, "other": `
at=2026-12-03T10:00:10Z event=jobs_load_failed partition=8 owned=true pages=0 err="other partition"
at=2026-12-03T10:00:10Z event=jobs_load_failed partition=7 owned=false pages=0 err="other reader"
at=2026-12-03T10:00:11Z event=store_calls call=read topic=keyed.op not_performed=1 calls=1
`})
	explanation := logs.Explain("j")
	requireCause(t, explanation,
		`reader: call "results" on the job read partition 7 of the store instead of asking its owner, since owner o had not loaded the partition: not done, reading the whole partition, after 0.80 s (context deadline exceeded)`,
		`since owner o did not answer (refused): missing after 0.00 s`,
		"meanwhile 10:00:09.000 owner: the owner could not load partition 7 (platform did not perform the operation) (repeated until 10:00:10.000)",
		"meanwhile 10:00:13.000 owner: the owner loaded partition 7",
		`reader: store call "newest keyed.jobs" until 10:00:11.000: 6 calls, 5 of them in vain; 3 KB received, 3 KB of them thrown away`,
		`meanwhile 10:00:09.000 owner: store call "newest keyed.jobs" until 10:00:11.000: 4 calls, 2 of them in vain; 2 KB received, 2 KB of them thrown away`)
	text := strings.Join(explanation.Causes, "\n")
	for _, unrelated := range []string{"other partition", "other reader", "keyed.op"} {
		require.NotContains(t, text, unrelated)
	}
}

// A caller gets 503 for an accepted job while its owner loads the partition. The line names the
// owner, whose loads explain it.
func TestExplainsCallThatWasRejectedWhileTheOwnerLoads(t *testing.T) {
	logs := readLogs(t, map[string]string{"reader": `
at=2026-12-03T10:00:10Z event=job_call_not_done job=j partition=7 call=results why=owner_not_loaded owner=o owner_err=null
`, "owner": `
at=2026-12-03T10:00:09Z event=jobs_load_failed partition=7 owned=true pages=2 records=9 bytes=2048 took_ms=1500 err="platform did not perform the operation"
`})
	requireCause(t, logs.Explain("j"),
		`reader: call "results" on the job was rejected, to come back, since owner o had not loaded the partition`,
		"meanwhile 10:00:09.000 owner: the owner could not load partition 7 (platform did not perform the operation)")
}
