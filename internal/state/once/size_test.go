package once

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Each instance keeps all calls until their retention is over. The memory per call
// determines how long the retention can be.
func TestMeasureMemoryOfCalls(t *testing.T) {
	const calls = 50_000
	before := heapBytes()
	table := New()
	for i := range calls {
		key := protocol.CallKey{Organisation: "dobrescu", Key: fmt.Sprintf("%036d", i)}
		rec := protocol.Record{
			ID:          protocol.RecordID{Session: 1},
			CallReserve: &protocol.CallReserve{Call: key, ID: protocol.CallID(fmt.Sprintf("call_%032d", i))},
		}
		require.Equal(t, protocol.Accepted, apply(table, protocol.Offset(i), rec))
	}
	t.Logf("measure name=state.bytes_per_call unit=B now=%d", (heapBytes()-before)/calls)
	runtime.KeepAlive(table)
}
