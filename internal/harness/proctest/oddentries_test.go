package proctest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/wait"
)

// Guards against an odd entry of another writer among those of the targets that ends instances, or keeps them from
// following the list or from starting.
func TestOddEntriesAmongTargetsEndNoProcess(t *testing.T) {
	entry := func(address, slots, more string) string {
		return fmt.Sprintf(`{"service":"svc","address":%q,"zone":"pnw-sea","version":"v1","slots":%s,"state":"ready","born":1,"seq":1%s}`, address, slots, more)
	}
	f := startRouted(t, 3)
	for n, odd := range []string{
		strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000), "null", "1e400", `{"service":`, "\xff\xfe",
		entry("127.0.0.1:99999", "8", ""), entry("127.0.0.1:0", "8", ""), entry("127.0.0.1:-1", "8", ""), entry("0.0.0.0:12000", "8", ""),
		entry("127.0.0.1:12000", "9223372036854775807", ""), entry("127.0.0.1:12000", "1e400", ""), entry("127.0.0.1:12000", "-1", ""),
		entry("127.0.0.1:12000", "8", `,"cold_left_ms":1e300`), entry("127.0.0.1:12000", "8", `,"more":`+strings.Repeat("[", 200_000)+strings.Repeat("]", 200_000)),
		entry("127.0.0.1:12000", "8", `,"state":"`+strings.Repeat("x", 100_000)+`"`),
	} {
		f.store.Put("keyed.servers", fmt.Sprint("odd-", n), []byte(odd))
	}
	wait.For(f.ctx, 2*time.Second)
	f.requireServing("with odd entries")
	for _, i := range f.instances {
		require.False(t, i.process.Exited(), i.process.Name)
		i.process.Kill()
		i.start()
		f.awaitReady(i)
	}
	// The instances find each other and the list.
	wait.For(f.ctx, 2*time.Second)
	f.requireServing("after a restart")
	for _, i := range f.instances {
		require.False(t, i.process.Exited(), i.process.Name)
	}
}

// requireServing requires that each instance serves requests, also at a target that has just joined.
func (f *routedFleet) requireServing(when string) {
	f.t.Helper()
	f.addVersionedTarget(len(when), "v1")
	wait.For(f.ctx, 2*time.Second)
	for n := range 20 {
		for _, i := range f.instances {
			status, _ := f.attempt(f.ctx, i, "/r/a/3", fmt.Sprintf("%s-%d/%d", when, n, time.Now().UnixNano()), "", "", nil)
			require.Equal(f.t, http.StatusOK, status, "%s: %s", when, i.process.Name)
		}
	}
}
