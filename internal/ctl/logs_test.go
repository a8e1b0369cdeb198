package ctl

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const sampleLog = `at=2026-12-03T10:00:00.1Z level=info event=started instance=a domain=d
at=2026-12-03T10:00:01.1Z level=info event=request_placed request=r1 target=t-1 broker=10.0.0.1:3 busy=3 slots=8 waited_ms=2
at=2026-12-03T10:00:01.9Z level=info event=attempt_failed request=r1 target=t-1 how=lost position=4 runs=1 err="the call may have run: read: connection reset by peer"
at=2026-12-03T10:00:01.9Z level=info event=request request=r1 outcome=cut_off reason=cut_off status=200 target=t-1 events=5 took_ms=800
something else
`

func TestExplainReadsFilesAndFolders(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a.log")
	require.NoError(t, os.WriteFile(path, []byte(sampleLog), 0o600))
	for _, place := range []string{path, dir} {
		got := run("explain", "r1", "--logs", place)
		require.Equal(t, ExitOK, got.code, got.stderr)
		require.Contains(t, got.stdout, "a: its answer was cut off after 5 events and 0.80 s: target t-1 stopped in the middle")
		require.Contains(t, got.stdout, "connection reset by peer")
		require.Contains(t, got.stderr, "3 lines name the id, of 4 read (1 lines of other programs skipped)")
	}
	got := run("logs", "summary", dir)
	require.Equal(t, ExitOK, got.code, got.stderr)
	require.Regexp(t, `1 +1 +request +cut_off +cut_off`, got.stdout)
}

func TestExplainRejectsUnreadableLogs(t *testing.T) {
	require.Equal(t, ExitBadInput, run("explain", "r1").code)
	require.Equal(t, ExitBadInput, run("explain", "", "--logs", t.TempDir()).code)
	require.Equal(t, ExitBadInput, run("explain", "r1", "--logs", filepath.Join(t.TempDir(), "none")).code)
	foreign := filepath.Join(t.TempDir(), "x.log")
	require.NoError(t, os.WriteFile(foreign, []byte("nothing of ours\n"), 0o600))
	got := run("logs", "summary", foreign)
	require.Equal(t, ExitBadInput, got.code)
	require.Contains(t, got.stderr, "no line of tillerd in")
}
