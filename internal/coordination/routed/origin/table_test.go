package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRecordsExpireAndAreBounded(t *testing.T) {
	table := newTable()
	for i := range maxRecords + 5 {
		table.add(start, fmt.Sprint(i), record{version: "v1", begunAt: start})
	}
	require.Len(t, table.records, maxRecords)
	require.Nil(t, table.find(start, "4"), "the oldest one is dropped")
	require.NotNil(t, table.find(start, "5"))
	require.NotNil(t, table.find(start.Add(recordLifetime), "5"))
	require.Nil(t, table.find(start.Add(recordLifetime+time.Millisecond), "5"))
	require.Empty(t, table.records)
	require.Empty(t, table.order)
}

// Guards against a choice between two records that contradict each other.
func TestContradictingRecordsMakeVersionUnknown(t *testing.T) {
	table := newTable()
	table.add(start, "a", record{version: "v1", begunAt: start})
	table.add(start, "a", record{version: "v1", begunAt: start})
	require.Equal(t, "v1", table.find(start, "a").version)
	table.add(start, "a", record{version: "v2", begunAt: start})
	require.Nil(t, table.find(start, "a"))
	table.add(start, "a", record{version: "v1", begunAt: start})
	require.Nil(t, table.find(start, "a"))
}
