package replica

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/fleet"
)

// Sizes of a control stream that leaves a million items in running jobs.
const (
	liveItems = 1_000_000
	liveJobs  = 10
	// recordsPerFrame is the number of records that group commit puts into a
	// frame.
	recordsPerFrame = 8
)

// controlStream returns the encoded frames of a control stream that leaves a
// million items in running jobs: the manifests, a claim of each chunk and the
// results of half of the items.
func controlStream(tb testing.TB) (payloads [][]byte, records int) {
	open := protocol.Record{
		ID:          protocol.RecordID{Session: 1, Seq: 1},
		SessionOpen: &protocol.SessionOpen{Instance: "i", Domain: "pnw-sea"},
	}
	pending := []protocol.Record{open}
	seq := uint64(1)
	flush := func() {
		payload, err := protocol.EncodeFrame(protocol.Frame{Records: pending})
		require.NoError(tb, err)
		payloads = append(payloads, payload)
		records += len(pending)
		pending = nil
	}
	add := func(rec protocol.Record) {
		seq++
		rec.ID = protocol.RecordID{Session: 1, Seq: seq}
		pending = append(pending, rec)
		if len(pending) >= recordsPerFrame || rec.JobSubmit != nil {
			flush()
		}
	}
	for j := range liveJobs {
		for _, rec := range jobRecords(j) {
			add(rec)
		}
	}
	flush()
	return payloads, records
}

func jobRecords(j int) []protocol.Record {
	const items = liveItems / liveJobs
	job := protocol.JobID(fmt.Sprintf("batch_%020d", j))
	submit := &protocol.JobSubmit{
		Job:          job,
		Organisation: "harbor",
		Endpoint:     "/v1/chat/completions",
		Created:      time.Unix(1, 0).UTC(),
		Deadline:     time.Unix(100000, 0).UTC(),
	}
	records := []protocol.Record{{JobSubmit: submit}}
	for first := 0; first < items; first += protocol.MaxChunkItems {
		n := min(protocol.MaxChunkItems, items-first)
		chunk := len(submit.Chunks)
		submit.Chunks = append(submit.Chunks, protocol.ChunkRef{Offset: protocol.Offset(chunk), Items: n})
		bitmap := make([]byte, (n+7)/8)
		for i := range bitmap {
			bitmap[i] = 0x55
		}
		records = append(records,
			protocol.Record{ChunkClaim: &protocol.ChunkClaim{Job: job, Chunks: []int{chunk}}},
			protocol.Record{ChunkResult: &protocol.ChunkResult{Job: job, Chunk: chunk, Data: protocol.Offset(chunk), Items: bitmap}})
	}
	return records
}

func replayAll(tb testing.TB, payloads [][]byte) *State {
	state := New()
	for at, payload := range payloads {
		frame, err := protocol.DecodeFrame(payload)
		require.NoError(tb, err)
		for _, verdict := range state.Apply(protocol.Offset(at), frame) {
			require.Equal(tb, protocol.Accepted, verdict)
		}
	}
	return state
}

// BenchmarkReplay measures how many records one core decodes and applies per
// second.
func BenchmarkReplay(b *testing.B) {
	payloads, records := controlStream(b)
	for b.Loop() {
		replayAll(b, payloads)
	}
	b.ReportMetric(float64(records)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
}

// BenchmarkRestore measures the time to restore a snapshot with a million items
// in running jobs, and the size of the snapshot.
func BenchmarkRestore(b *testing.B) {
	payloads, _ := controlStream(b)
	data, err := replayAll(b, payloads).Snapshot()
	require.NoError(b, err)
	for b.Loop() {
		_, err := Restore(data)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(data)), "snapshot-bytes")
}

// BenchmarkCapture measures how long readers of the state wait while the state is
// copied for a snapshot.
func BenchmarkCapture(b *testing.B) {
	payloads, _ := controlStream(b)
	state := replayAll(b, payloads)
	for b.Loop() {
		state.Capture()
	}
}

// BenchmarkFleetMemory measures the heap memory and the snapshot size of a
// configuration of the intended maximum size: 3,400 organisations with three keys
// each and 38 models.
func BenchmarkFleetMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&before)
		change := &protocol.Record{FleetChange: targetConfiguration()}
		store := fleet.New()
		require.Equal(b, protocol.Accepted, store.Apply(0, change, nil))
		change = nil
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		data, err := protocol.Marshal(store.Snapshot())
		require.NoError(b, err)
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
		runtime.KeepAlive(store)
	}
}

func targetConfiguration() *protocol.FleetChange {
	change := &protocol.FleetChange{ChangeID: "target", BasedOn: protocol.NoOffset}
	put := func(object protocol.FleetObject) { change.Set = append(change.Set, object) }
	for i := range 38 {
		service := protocol.ServiceName(fmt.Sprintf("service-%d", i))
		put(protocol.FleetObject{Service: &protocol.Service{Name: service, Kind: protocol.KindModel, Repeatable: true, Slots: 16, LongestOrder: time.Minute}})
		put(protocol.FleetObject{Model: &protocol.Model{Name: protocol.ModelName(service), Service: service, Version: "1"}})
	}
	for i := range 3400 {
		id := protocol.OrganisationID(fmt.Sprintf("organisation-%d", i))
		put(protocol.FleetObject{Organisation: &protocol.Organisation{ID: id, Rate: 1, Burst: 5}})
		for k := range 3 {
			hash := sha256.Sum256([]byte{byte(i), byte(i >> 8), byte(k)})
			key := protocol.KeyID(fmt.Sprintf("key-%d-%d", i, k))
			put(protocol.FleetObject{Key: &protocol.Key{ID: key, Organisation: id, SHA256: hex.EncodeToString(hash[:])}})
		}
	}
	return change
}

// BenchmarkLiveMemory measures the heap memory of a million items in running jobs.
func BenchmarkLiveMemory(b *testing.B) {
	payloads, _ := controlStream(b)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		state := replayAll(b, payloads)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		runtime.KeepAlive(state)
	}
}
