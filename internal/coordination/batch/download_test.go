package batch

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// storedEntries implements the reads of coordination.Journal over entries in memory.
// rejects decides which reads are rejected, by their number from 1 on.
type storedEntries struct {
	coordination.Journal
	payloads [][]byte
	reads    int
	rejects  func(read int) bool
}

func (s *storedEntries) ReadData(_ context.Context, at protocol.Offset) ([]byte, error) {
	s.reads++
	if s.rejects(s.reads) {
		return nil, external.ErrUnavailable
	}
	return s.payloads[at], nil
}

func (s *storedEntries) add(t *testing.T, entry bulk.Entry) protocol.Offset {
	payload, err := bulk.Encode(entry)
	require.NoError(t, err)
	s.payloads = append(s.payloads, payload)
	return protocol.Offset(len(s.payloads) - 1)
}

// storeFile stores a file with one item in each entry and returns its id.
func (s *storedEntries) storeFile(t *testing.T, entries int) string {
	file := bulk.File{Organisation: "dobrescu", Endpoint: Endpoints[0]}
	for range entries {
		at := s.add(t, bulk.Entry{Items: []bulk.Item{{CustomID: "a", Body: []byte(`{}`)}}})
		file.Chunks = append(file.Chunks, protocol.ChunkRef{Offset: at, Items: 1})
	}
	at := s.add(t, bulk.Entry{File: &file})
	return fileID(at, s.payloads[at])
}

// A client downloads a file of many entries while the log rejects one read in three.
// Guards against a download that is cut at the first failed read, so that no
// download is ever complete.
func TestDownloadContinuesAfterFailedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entries := &storedEntries{rejects: func(read int) bool { return read%3 == 0 }}
		id := entries.storeFile(t, 12)
		service := &Service{journal: entries}
		var refusal *protocol.Refusal
		err := errors.New("not tried")
		var out bytes.Buffer
		for range 20 {
			out.Reset()
			if refusal, err = service.FileContent(t.Context(), "dobrescu", id, &out); refusal == nil && err == nil {
				break
			}
		}
		require.NoError(t, err, "after %d reads", entries.reads)
		require.Nil(t, refusal)
		require.Equal(t, 12, strings.Count(out.String(), "\n"))
	})
}

// A download that has not begun is refused after one failed read, and one that has
// begun is cut after a few.
func TestDownloadEndsInOutage(t *testing.T) {
	for outageFrom, most := range map[int]int{2: 1, 3: persistentTries} {
		synctest.Test(t, func(t *testing.T) {
			entries := &storedEntries{rejects: func(read int) bool { return read >= outageFrom }}
			id := entries.storeFile(t, 12)
			service := &Service{journal: entries}
			refusal, err := service.FileContent(t.Context(), "dobrescu", id, &bytes.Buffer{})
			require.True(t, refusal != nil || err != nil)
			require.Equal(t, outageFrom == 2, refusal != nil)
			require.Equal(t, outageFrom-1+most, entries.reads)
		})
	}
}

// cancelledJob returns a state with one cancelled job that has a chunk in each of the
// first entries.
func cancelledJob(t *testing.T, entries int) *replica.State {
	submit := &protocol.JobSubmit{Job: "j", Organisation: "dobrescu", IdempotencyKey: "k", Endpoint: Endpoints[0], Created: time.Unix(0, 0), Deadline: time.Unix(3600, 0)}
	for at := range entries {
		submit.Chunks = append(submit.Chunks, protocol.ChunkRef{Offset: protocol.Offset(at), Items: 1})
	}
	state := replica.New()
	verdicts := state.Apply(0, protocol.Frame{Records: []protocol.Record{
		{ID: protocol.RecordID{Session: 1, Seq: 1}, SessionOpen: &protocol.SessionOpen{Instance: "a"}},
		{ID: protocol.RecordID{Session: 1, Seq: 2}, JobSubmit: submit},
		{ID: protocol.RecordID{Session: 1, Seq: 3}, JobCancel: &protocol.JobCancel{Job: "j", Organisation: "dobrescu"}},
	}})
	require.Equal(t, []protocol.Verdict{protocol.Accepted, protocol.Accepted, protocol.Accepted}, verdicts)
	return state
}

// jobEntries adds the replayed state of a job to the entries.
type jobEntries struct {
	*storedEntries
	state *replica.State
}

func (j *jobEntries) View(read func(*replica.State)) { read(j.state) }
func (j *jobEntries) Changed() <-chan struct{}       { return nil }

// The error file of a job with many chunks is downloaded while the log rejects one
// read in three.
func TestDownloadOfResultsContinuesAfterFailedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entries := &storedEntries{rejects: func(read int) bool { return read%3 == 0 }}
		entries.storeFile(t, 12)
		service := &Service{journal: &jobEntries{entries, cancelledJob(t, 12)}}
		var refusal *protocol.Refusal
		err := errors.New("not tried")
		var out bytes.Buffer
		for range 20 {
			out.Reset()
			if refusal, err = service.FileContent(t.Context(), "dobrescu", ErrorFileID("j"), &out); refusal == nil && err == nil {
				break
			}
		}
		require.NoError(t, err, "after %d reads", entries.reads)
		require.Nil(t, refusal)
		require.Equal(t, 12, strings.Count(out.String(), "\n"))
	})
}
