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

// jobRecords returns the records of a job with results of different lengths, in the order
// in which they are written.
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

// A new owner of a partition reads the newest record of each key, in any order; another
// instance has followed the log from the start. A caller that asks both must see the same
// results at the same positions.
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
	job, _ := followed.Job("job")
	require.Len(t, job.Results, 12)
	require.False(t, job.Open())
}

// The removal of a job must name every key of the job, or the store fills up.
func TestRemovalNamesEveryKey(t *testing.T) {
	records := jobRecords(t, 12)
	p := NewPartition()
	require.NoError(t, p.Load(external.KeyedPage{Records: records}))
	job, _ := p.Job("job")
	named := map[string]bool{}
	for _, record := range EncodeRemoval(job) {
		require.Empty(t, record.Value)
		named[record.Key] = true
	}
	for _, record := range records {
		require.True(t, named[record.Key], record.Key)
	}
	require.NoError(t, p.Apply(external.KeyedPage{Records: EncodeRemoval(job), Next: 1000}))
	_, known := p.Job("job")
	require.False(t, known)
}

// jobWithSegments applies segments of the first item to a partition with a job, in order.
func jobWithSegments(t *testing.T, segments ...OutputSegment) *JobState {
	t.Helper()
	p := NewPartition()
	require.NoError(t, p.Load(external.KeyedPage{Records: jobRecords(t, 12)[:3+1]}))
	var records []external.KeyedRecord
	for i, segment := range segments {
		record, err := EncodeSegment("job", segment, recordBytes)
		require.NoError(t, err)
		record.Offset = int64(100 + i)
		records = append(records, record)
	}
	require.NoError(t, p.Apply(external.KeyedPage{Records: records, Next: 200}))
	job, ok := p.Job("job")
	require.True(t, ok)
	return job
}

func TestConsecutiveSegmentsAreJoined(t *testing.T) {
	first := OutputSegment{Tag: 7, After: -1, Events: 2, Position: 1, Text: "a\nb", RunTime: time.Second}
	second := OutputSegment{Tag: 8, Follows: 7, Number: 1, After: 1, Events: 1, Position: 2, Text: "c", RunTime: 2 * time.Second}
	got, ok := jobWithSegments(t, first, second).Progress(0)
	require.True(t, ok)
	require.Equal(t, Progress{Tag: 8, Segments: 2, Events: 3, Position: 2, Text: "a\nb\nc", RunTime: 2 * time.Second}, got)
}

// An instance that was considered dead goes on writing segments, or an item was restarted
// while its old segments are still stored. Joined with the new ones, the text would mix two
// runs, the second of which was not asked to continue there, or repeat an event.
func TestNonConsecutiveSegmentsAreIgnored(t *testing.T) {
	first := OutputSegment{Tag: 7, After: -1, Events: 2, Position: 1, Text: "a\nb"}
	for name, other := range map[string]OutputSegment{
		"of another segment":     {Tag: 8, Follows: 9, Number: 1, After: 1, Events: 1, Position: 2, Text: "x"},
		"after another position": {Tag: 8, Follows: 7, Number: 1, After: 0, Events: 1, Position: 1, Text: "x"},
		"with a gap":             {Tag: 8, Follows: 7, Number: 2, After: 1, Events: 1, Position: 2, Text: "x"},
	} {
		got, ok := jobWithSegments(t, first, other).Progress(0)
		require.True(t, ok, name)
		require.Equal(t, "a\nb", got.Text, name)
		require.Equal(t, 1, got.Segments, name)
	}
	restarted := OutputSegment{Tag: 9, After: -1, Events: 1, Position: 0, Text: "z"}
	got, _ := jobWithSegments(t, first, restarted).Progress(0)
	require.Equal(t, "z", got.Text)
	_, ok := jobWithSegments(t, OutputSegment{Tag: 8, Follows: 7, Number: 1, After: 1, Events: 1, Position: 2, Text: "x"}).Progress(0)
	require.False(t, ok, "the first segment is missing")
}

// Two instances both act as owner of a partition and continue an item from the same segment.
// Both write the next segment under the same key, and the second instance a further one.
// Both segments happen to end at the same event, and the stored one is that of the first
// instance. Joined with the further segment, the text would mix two runs.
func TestSegmentsOfTwoOwnersAreNotJoined(t *testing.T) {
	first := OutputSegment{Tag: 1, After: -1, Events: 2, Position: 1, Text: "a\nb"}
	other := OutputSegment{Tag: 4, Follows: 1, Number: 1, After: 1, Events: 1, Position: 2, Text: "C"}
	after := OutputSegment{Tag: 3, Follows: 2, Number: 2, After: 2, Events: 1, Position: 3, Text: "d"}
	got, ok := jobWithSegments(t, first, other, after).Progress(0)
	require.True(t, ok)
	require.Equal(t, "a\nb\nC", got.Text)
}

// Segments of an item that has a result are not needed. One that arrives late must still be
// removed from the store together with the job.
func TestLateSegmentsAreRemovedWithTheJob(t *testing.T) {
	p := NewPartition()
	require.NoError(t, p.Load(external.KeyedPage{Records: jobRecords(t, 12)}))
	record, err := EncodeSegment("job", OutputSegment{Tag: 7, After: -1, Events: 1, Position: 0, Text: "a"}, recordBytes)
	require.NoError(t, err)
	record.Offset = 500
	require.NoError(t, p.Apply(external.KeyedPage{Records: []external.KeyedRecord{record}, Next: 501}))
	job, _ := p.Job("job")
	_, ok := job.Progress(0)
	require.False(t, ok)
	var named []string
	for _, removed := range EncodeRemoval(job) {
		named = append(named, removed.Key)
	}
	require.Contains(t, named, record.Key)
}

// An item that always fails is passed from owner to owner. Each must know the number of
// earlier failures, also after the item was restarted.
func TestFailureCountSurvivesRestartOfItem(t *testing.T) {
	failed := OutputSegment{Tag: 8, After: -1, Position: -1, Failures: 2}
	got, ok := jobWithSegments(t, OutputSegment{Tag: 7, After: -1, Events: 2, Position: 1, Text: "a\nb", Failures: 1}, failed).Progress(0)
	require.True(t, ok)
	require.Equal(t, Progress{Tag: 8, Segments: 1, Position: -1, Failures: 2}, got)
	next := OutputSegment{Tag: 9, Follows: 8, Number: 1, After: -1, Events: 1, Position: 0, Text: "z", Failures: 2}
	got, _ = jobWithSegments(t, failed, next).Progress(0)
	require.Equal(t, Progress{Tag: 9, Segments: 2, Events: 1, Position: 0, Text: "z", Failures: 2}, got)
}
