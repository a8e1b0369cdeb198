package explain

import "testing"

// Guards against a request of which nobody learns why it was closed, or went on, after targets ended under it.
func TestExplainsWhatEndedTargetsAreTakenFor(t *testing.T) {
	logs := readLogs(t, map[string]string{"a": `
at=2026-12-03T10:00:00Z event=request_target_ended request=r1 key=request:7 target=t-1 state=suspected events=83 lost_ms=10 ends=3 ran_ms=4200 verdict=chance known=t-1/83/suspected/10/a/0
at=2026-12-03T10:00:01Z event=request_target_ended request=r2 key=request:8 target=t-2 state=suspected events=3 lost_ms=10 ends=3 ran_ms=60 verdict=too_frequent known=t-2/3/suspected/10/a/0
`})
	requireCause(t, logs.Explain("r1"), "may have met them by chance")
	requireCause(t, logs.Explain("r2"), "too soon for chance, so it is closed")
}
