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
func jobRecords(t *testing.T, results int) []external.KeyedRecord {
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
func TestLoadAndApplyGiveTheSameState(t *testing.T) {
	records := jobRecords(t, 12)
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
func TestRemovalNamesEveryKey(t *testing.T) {
	records := jobRecords(t, 12)
	p := NewPartition()
	require.NoError(t, p.Load(external.KeyedPage{Records: records}))
	l, _ := p.Job("job")
	named := map[string]bool{}
	for _, record := range EncodeRemoval(l) {
		require.Empty(t, record.Value)
		named[record.Key] = true
	}
	for _, record := range records {
		require.True(t, named[record.Key], record.Key)
	}
	require.NoError(t, p.Apply(external.KeyedPage{Records: EncodeRemoval(l), Next: 1000}))
	_, known := p.Job("job")
	require.False(t, known)
}

// pieces puts parts of the first item into a partition that has a job, in order.
func jobWithSegments(t *testing.T, pieces ...OutputSegment) *JobState {
	t.Helper()
	p := NewPartition()
	require.NoError(t, p.Load(external.KeyedPage{Records: jobRecords(t, 12)[:3+1]}))
	var records []external.KeyedRecord
	for i, piece := range pieces {
		record, err := EncodeSegment("job", piece, recordBytes)
		require.NoError(t, err)
		record.Offset = int64(100 + i)
		records = append(records, record)
	}
	require.NoError(t, p.Apply(external.KeyedPage{Records: records, Next: 200}))
	l, ok := p.Job("job")
	require.True(t, ok)
	return l
}

func TestConsecutiveSegmentsAreJoined(t *testing.T) {
	first := OutputSegment{Tag: 7, After: -1, Events: 2, Position: 1, Text: "a\nb", RunTime: time.Second}
	second := OutputSegment{Tag: 8, Follows: 7, Number: 1, After: 1, Events: 1, Position: 2, Text: "c", RunTime: 2 * time.Second}
	got, ok := jobWithSegments(t, first, second).Progress(0)
	require.True(t, ok)
	require.Equal(t, Progress{Tag: 8, Segments: 2, Events: 3, Position: 2, Text: "a\nb\nc", RunTime: 2 * time.Second}, got)
}

// An instance that was thought dead goes on writing parts, or an item began anew and
// old parts are still there. Joined with the new ones, the text would hold pieces of
// two runs of which the second was not asked to go on there, or an event twice.
func TestNonConsecutiveSegmentsAreIgnored(t *testing.T) {
	first := OutputSegment{Tag: 7, After: -1, Events: 2, Position: 1, Text: "a\nb"}
	for name, other := range map[string]OutputSegment{
		"of another part":        {Tag: 8, Follows: 9, Number: 1, After: 1, Events: 1, Position: 2, Text: "x"},
		"after another position": {Tag: 8, Follows: 7, Number: 1, After: 0, Events: 1, Position: 1, Text: "x"},
		"with a gap":             {Tag: 8, Follows: 7, Number: 2, After: 1, Events: 1, Position: 2, Text: "x"},
	} {
		got, ok := jobWithSegments(t, first, other).Progress(0)
		require.True(t, ok, name)
		require.Equal(t, "a\nb", got.Text, name)
		require.Equal(t, 1, got.Segments, name)
	}
	anew := OutputSegment{Tag: 9, After: -1, Events: 1, Position: 0, Text: "z"}
	got, _ := jobWithSegments(t, first, anew).Progress(0)
	require.Equal(t, "z", got.Text)
	_, ok := jobWithSegments(t, OutputSegment{Tag: 8, Follows: 7, Number: 1, After: 1, Events: 1, Position: 2, Text: "x"}).Progress(0)
	require.False(t, ok, "the beginning is missing")
}

// Two instances think that they hold a partition, and both go on with an item from the
// same part. Each writes its own next part under the same key, and one of them another
// one after it. By chance both next parts end at the same event, and the one that is
// kept is that of the other instance. Joined with the part after it, the text would
// hold pieces of two runs.
func TestSegmentsOfTwoOwnersAreNotJoined(t *testing.T) {
	first := OutputSegment{Tag: 1, After: -1, Events: 2, Position: 1, Text: "a\nb"}
	other := OutputSegment{Tag: 4, Follows: 1, Number: 1, After: 1, Events: 1, Position: 2, Text: "C"}
	after := OutputSegment{Tag: 3, Follows: 2, Number: 2, After: 2, Events: 1, Position: 3, Text: "d"}
	got, ok := jobWithSegments(t, first, other, after).Progress(0)
	require.True(t, ok)
	require.Equal(t, "a\nb\nC", got.Text)
}

// Parts of an item that is listed are of no use, and one that comes late must not be
// left in the store when the job is dropped.
func TestLateSegmentsAreRemovedWithTheJob(t *testing.T) {
	p := NewPartition()
	require.NoError(t, p.Load(external.KeyedPage{Records: jobRecords(t, 12)}))
	record, err := EncodeSegment("job", OutputSegment{Tag: 7, After: -1, Events: 1, Position: 0, Text: "a"}, recordBytes)
	require.NoError(t, err)
	record.Offset = 500
	require.NoError(t, p.Apply(external.KeyedPage{Records: []external.KeyedRecord{record}, Next: 501}))
	l, _ := p.Job("job")
	_, ok := l.Progress(0)
	require.False(t, ok)
	var named []string
	for _, dropped := range EncodeRemoval(l) {
		named = append(named, dropped.Key)
	}
	require.Contains(t, named, record.Key)
}

// An item that always fails goes from holder to holder. Each must know how often it
// failed before, also after it began anew.
func TestFailureCountSurvivesRestartOfItem(t *testing.T) {
	failed := OutputSegment{Tag: 8, After: -1, Position: -1, Failures: 2}
	got, ok := jobWithSegments(t, OutputSegment{Tag: 7, After: -1, Events: 2, Position: 1, Text: "a\nb", Failures: 1}, failed).Progress(0)
	require.True(t, ok)
	require.Equal(t, Progress{Tag: 8, Segments: 1, Position: -1, Failures: 2}, got)
	next := OutputSegment{Tag: 9, Follows: 8, Number: 1, After: -1, Events: 1, Position: 0, Text: "z", Failures: 2}
	got, _ = jobWithSegments(t, failed, next).Progress(0)
	require.Equal(t, Progress{Tag: 9, Segments: 2, Events: 1, Position: 0, Text: "z", Failures: 2}, got)
}
