package routed

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/sharedstore"
	"merlintiller/platform"
)

// linesOf returns the lines of an event.
func linesOf(logs, event string) (out []string) {
	for line := range strings.Lines(logs) {
		if strings.Contains(line, "event="+event+" ") {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}

// Some calls of a large fleet fail at any time. A line for each would be written thousands of
// times a second while the store is busy, when processors are busy too.
func TestStoreCallsOfOneKindAreOneLine(t *testing.T) {
	var logs bytes.Buffer
	calls := &storeCalls{logger: log.NewLogfmtLogger(&logs), kinds: map[platform.CallKind]*callSums{}}
	newest := platform.CallKind{Call: "newest", Topic: "keyed.jobs"}
	for i := range 1000 {
		calls.add(platform.CallReport{Kind: newest, Outcome: platform.CallNotPerformed, Duration: time.Duration(i) * time.Millisecond})
		calls.add(platform.CallReport{Kind: platform.CallKind{Call: "join"}})
	}
	calls.add(platform.CallReport{Kind: newest, Received: 100})
	calls.add(platform.CallReport{Kind: newest, UnusedPages: 100})
	calls.add(platform.CallReport{Kind: newest, Outcome: platform.CallTimedOut, CutOff: 70})
	calls.flush()
	require.Equal(t, []string{"level=info event=store_calls call=newest topic=keyed.jobs done=1 not_performed=1000 throttled=0 timed_out=1 failed=0 " +
		"not_connected=0 rejected=0 abandoned=0 calls=1002 received_bytes=100 cut_off_bytes=70 unused_page_bytes=100 longest_ms=999"},
		linesOf(logs.String(), "store_calls"))
	logs.Reset()
	calls.flush()
	require.Empty(t, logs.String())
}

// Reading much is worth a line although every call is answered: it is what a store becomes
// busy with.
func TestStoreCallsOfManyBytesAreLogged(t *testing.T) {
	var logs bytes.Buffer
	calls := &storeCalls{logger: log.NewLogfmtLogger(&logs), kinds: map[platform.CallKind]*callSums{}}
	read := platform.CallKind{Call: "read", Topic: "keyed.jobs"}
	calls.add(platform.CallReport{Kind: read, Received: notableBytes})
	calls.flush()
	require.Empty(t, logs.String())
	calls.add(platform.CallReport{Kind: read, Received: notableBytes + 1})
	calls.flush()
	require.Len(t, linesOf(logs.String(), "store_calls"), 1)
}

func TestStoreCallsAreLoggedOnlyDuringTrouble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 1, instances: 2, targets: 1})
		sleep(4 * storeCallsInterval)
		inst := fleet.instances[0]
		require.Empty(t, linesOf(inst.logs.String(), "store_calls"))
		inst.storeAccess.Set(sharedstore.Fault{Status: http.StatusServiceUnavailable})
		sleep(2 * storeCallsInterval)
		inst.storeAccess.Set(sharedstore.Fault{})
		lines := linesOf(inst.logs.String(), "store_calls")
		require.Regexp(t, `call=read topic=keyed.op done=\d+ not_performed=[1-9]`, strings.Join(lines, "\n"))
		require.LessOrEqual(t, len(lines), 2*10)
		require.Empty(t, linesOf(fleet.instances[1].logs.String(), "store_calls"))
	})
}

func BenchmarkStoreCallsAdd(b *testing.B) {
	calls := &storeCalls{logger: log.NewNopLogger(), kinds: map[platform.CallKind]*callSums{}}
	r := platform.CallReport{Kind: platform.CallKind{Call: "newest", Topic: "keyed.jobs"}, Received: 1000}
	b.ReportAllocs()
	for b.Loop() {
		calls.add(r)
	}
}
