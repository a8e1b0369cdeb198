package explain

import "testing"

// Guards against a request from whose id nobody finds the targets that ended under it at other instances
// and under other ids, how far each run had come, and who knew of it.
func TestExplainsTargetsThatEndedUnderRepeats(t *testing.T) {
	logs := readLogs(t, map[string]string{
		"a": `
at=2026-12-03T10:00:00Z event=attempt_failed request=r1 key=request:7 target=t-1 how=lost ended=closed events=2 runs=1 err="unexpected EOF"
at=2026-12-03T10:00:00.01Z event=request_target_ended request=r1 key=request:7 target=t-1 state=suspected events=2 lost_ms=10 ends=1 known=t-1/2/suspected/10/a/0
`,
		"b": `
at=2026-12-03T10:00:00.02Z event=request_ends_learned from=a request=r1 key=request:7 ends=1 known=t-1/2/suspected/20/a/0
at=2026-12-03T10:00:01Z event=attempt_failed request=r2 key=request:7 target=t-4 how=lost ended=closed events=0 runs=1 err="unexpected EOF"
at=2026-12-03T10:00:01.01Z event=request_target_ended request=r2 key=request:7 target=t-4 state=suspected events=0 lost_ms=10 ends=2 known=t-1/2/confirmed/1010/a/0,t-4/0/suspected/10/b/0
`})
	requireCause(t, logs.Explain("r2"), "target t-1 ended 0.01 s before, after 2 events of the run (suspected)")
	requireCause(t, logs.Explain("r2"), "b learned from a that 1 targets ended under it", "t-1/2/suspected/20/a/0")
	requireCause(t, logs.Explain("r2"), "target t-4 ended", "2 targets ended under the request, as known at b", "t-1/2/confirmed/1010/a/0")
	requireCause(t, logs.Explain("r1"), "target t-4 ended")
}
