package jobs

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
)

const recordBytes = 4 << 10

// script is the records of a job whose results are of different lengths, in the
// order in which they are written.
func script(t *testing.T, results int) []external.KeyedRecord {
	t.Helper()
	job := &Job{ID: "job", Organisation: "o", Submitted: time.UnixMilli(5)}
	for i := range results {
		job.Items = append(job.Items, Item{ID: strings.Repeat("i", i+1), Path: "/", Body: make([]byte, 700)})
	}
	records, err := EncodeJob(job, recordBytes)
	require.NoError(t, err)
	for i := range results {
		text := strings.Repeat("x", 1+i%3*recordBytes)
		more, err := EncodeResult(job.ID, i, Result{Item: job.Items[i].ID, Outcome: Succeeded, Text: text}, recordBytes)
		require.NoError(t, err)
		records = append(records, more...)
	}
	for i := range records {
		records[i].Offset = int64(i)
	}
	return records
}

// An instance takes a partition over and reads the newest record of each key, in
// no order; another one has followed the log all the time. A caller that asks
// first the one and then the other must see the same results at the same places.
func TestLoadingAndFollowingComeToTheSame(t *testing.T) {
	records := script(t, 12)
	followed := NewPartition()
	for _, record := range records {
		require.NoError(t, followed.Apply(external.KeyedPage{Records: []external.KeyedRecord{record}, Next: record.Offset + 1}))
	}
	random := rand.New(rand.NewPCG(5, 6))
	for range 20 {
		random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
		loaded := NewPartition()
		require.NoError(t, loaded.Load(external.KeyedPage{Records: records, Next: int64(len(records))}))
		require.Equal(t, followed.Jobs(), loaded.Jobs())
		require.Equal(t, followed.Next(), loaded.Next())
	}
	l, _ := followed.Job("job")
	require.Len(t, l.Results, 12)
	require.False(t, l.Open())
}

// What removes a job must name every key that it has, or the store fills up.
func TestDropNamesEveryKey(t *testing.T) {
	records := script(t, 12)
	p := NewPartition()
	require.NoError(t, p.Load(external.KeyedPage{Records: records}))
	l, _ := p.Job("job")
	named := map[string]bool{}
	for _, record := range EncodeDrop(l) {
		require.Empty(t, record.Value)
		named[record.Key] = true
	}
	for _, record := range records {
		require.True(t, named[record.Key], record.Key)
	}
	require.NoError(t, p.Apply(external.KeyedPage{Records: EncodeDrop(l), Next: 1000}))
	_, known := p.Job("job")
	require.False(t, known)
}
