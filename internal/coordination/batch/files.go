package batch

import (
	"cmp"
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// File describes an input, output or error file to callers.
type File struct {
	ID      string
	Name    string
	Bytes   int64
	Purpose string
	Created time.Time
	// Expires is the time from which the file may be unavailable.
	Expires time.Time
}

// Purposes of files.
const (
	PurposeBatch  = "batch"
	PurposeOutput = "batch_output"
)

// maxChunks limits the chunks of a file. The job manifest lists the offsets of
// all chunks and must fit in a log entry together with other records.
const maxChunks = 20_000

// UploadFile stores an input file. It returns after the last entry of the file
// is stored in the log; from then on the file survives the loss of the instance.
func (s *Service) UploadFile(ctx context.Context, org protocol.OrganisationID, name string, input io.Reader) (File, *protocol.Refusal) {
	splitter := newEntrySplitter(s.opts, input)
	var entries []protocol.ChunkRef
	for {
		items, err := splitter.next()
		if err != nil {
			return File{}, inputRefusal(err)
		}
		if len(items) == 0 {
			break
		}
		at, err := s.appendEntry(ctx, bulk.Entry{Items: items})
		if err != nil {
			return File{}, s.storageRefusal(err, "the upload")
		}
		entries = append(entries, protocol.ChunkRef{Offset: at, Items: len(items)})
	}
	if len(entries) == 0 {
		return File{}, badRequest("file", "the file contains no items")
	}
	refs := splitIntoChunks(entries, s.chunkItems(splitter.items))
	if len(refs) > maxChunks {
		return File{}, protocol.Refuse(protocol.CodeTooLarge, 0, "the file has more than %d chunks", maxChunks)
	}
	return s.appendDescription(ctx, bulk.File{
		Organisation: org,
		Name:         name,
		Bytes:        splitter.bytes,
		Items:        splitter.items,
		Hash:         splitter.hash.Sum64(),
		Endpoint:     splitter.endpoint,
		Chunks:       refs,
		Models:       slices.Sorted(maps.Keys(splitter.models)),
		Created:      time.Now().UTC().Truncate(time.Second),
	})
}

// Parameters for dividing a file into chunks. Small chunks distribute a small job
// over all instances, each of which can only use the targets assigned to it. Large
// chunks need fewer appends.
const (
	// minChunkItems is the minimum number of items per chunk.
	minChunkItems = 16
	// chunksPerInstance is the intended number of chunks per instance.
	chunksPerInstance = 4
)

// chunkItems returns the number of items per chunk for a file.
func (s *Service) chunkItems(items int) int {
	instances := 0
	s.journal.View(func(state *replica.State) { instances = len(openSessions(state)) })
	size := ceilDiv(items, max(1, instances)*chunksPerInstance)
	return min(max(size, minChunkItems), protocol.MaxChunkItems)
}

// splitIntoChunks divides the items of each entry into chunks of at most size
// items.
func splitIntoChunks(entries []protocol.ChunkRef, size int) (refs []protocol.ChunkRef) {
	for _, entry := range entries {
		for first := 0; first < entry.Items; first += size {
			count := min(size, entry.Items-first)
			refs = append(refs, protocol.ChunkRef{Offset: entry.Offset, Items: count, First: first})
		}
	}
	return refs
}

// appendDescription appends the description of a file. The file exists once the
// description is stored.
func (s *Service) appendDescription(ctx context.Context, file bulk.File) (File, *protocol.Refusal) {
	if refusal := s.checkModels(file.Models); refusal != nil {
		return File{}, refusal
	}
	payload, err := bulk.Encode(bulk.Entry{At: time.Now().Unix(), File: &file})
	if err != nil {
		return File{}, protocol.Refuse(protocol.CodeTooLarge, 0, "the file has too many chunks")
	}
	at, err := s.appendData(ctx, payload)
	if err != nil {
		return File{}, s.storageRefusal(err, "the upload")
	}
	return s.fileView(fileID(at, payload), &file), nil
}

// fileView describes an uploaded file to callers.
func (s *Service) fileView(id string, file *bulk.File) File {
	return File{
		ID:      id,
		Name:    file.Name,
		Bytes:   file.Bytes,
		Purpose: PurposeBatch,
		Created: file.Created,
		Expires: file.Created.Add(s.opts.FileTTL),
	}
}

// checkModels rejects models that batch jobs can't use. An item runs again if
// its instance crashes during the run, so items may only use services whose
// calls are idempotent.
func (s *Service) checkModels(models []protocol.ModelName) *protocol.Refusal {
	fleet := s.journal.Fleet()
	for _, name := range models {
		model, known := fleet.Models[name]
		if !known {
			refusal := protocol.Refuse(protocol.CodeUnknownModel, 0, "model %q does not exist", name)
			refusal.Param = "body.model"
			return refusal
		}
		if !fleet.Services[model.Service].Repeatable {
			return badRequest("body.model", "model %q can't be used in batch jobs, because the calls of its service are not idempotent", name)
		}
	}
	return nil
}

// badRequest returns a refusal of the request because of the parameter param.
func badRequest(param, format string, args ...any) *protocol.Refusal {
	refusal := protocol.Refuse(protocol.CodeBadRequest, 0, format, args...)
	refusal.Param = param
	return refusal
}

// inputRefusal converts an error of entrySplitter into a refusal.
func inputRefusal(err error) *protocol.Refusal {
	var line *LineError
	if errors.As(err, &line) {
		return badRequest(cmp.Or(line.Field, "file"), "%s", line.Error())
	}
	if errors.Is(err, errTooLarge) {
		return protocol.Refuse(protocol.CodeTooLarge, 0, "%s", err)
	}
	return badRequest("file", "the upload was interrupted: %s", err)
}

// appendEntry stores an entry in DataStream with the current time.
func (s *Service) appendEntry(ctx context.Context, entry bulk.Entry) (protocol.Offset, error) {
	entry.At = time.Now().Unix()
	payload, err := bulk.Encode(entry)
	if err != nil {
		return protocol.NoOffset, trace.Wrap(err)
	}
	at, err := s.appendData(ctx, payload)
	return at, trace.Wrap(err)
}

// appendData appends with a timeout. The journal retries until ctx ends, and
// rejecting the call with a retry delay is better for the caller than a long
// wait.
func (s *Service) appendData(ctx context.Context, payload []byte) (protocol.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.SubmitTimeout)
	defer cancel()
	return s.journal.AppendData(ctx, payload)
}

// File describes a file of the organisation. For any other organisation the
// file does not exist.
func (s *Service) File(ctx context.Context, org protocol.OrganisationID, id string) (File, *protocol.Refusal) {
	if job, failed, ok := parseResultFileID(id); ok {
		return s.resultFile(ctx, org, job, failed)
	}
	file, refusal := s.readFile(ctx, org, id)
	if refusal != nil {
		return File{}, refusal
	}
	return s.fileView(id, file), nil
}

// readFile reads the description of an uploaded file and checks that the id
// belongs to it and to the organisation.
func (s *Service) readFile(ctx context.Context, org protocol.OrganisationID, id string) (*bulk.File, *protocol.Refusal) {
	unknown := protocol.Refuse(protocol.CodeNotFound, 0, "file %q does not exist", id)
	at, hash, ok := parseFileID(id)
	if !ok {
		return nil, unknown
	}
	payload, err := s.journal.ReadData(ctx, at)
	if err != nil {
		return nil, s.storageRefusal(err, "file "+id)
	}
	if xxhash.Sum64(payload) != hash {
		return nil, unknown
	}
	entry, err := bulk.Decode(payload)
	if err != nil || entry.File == nil || entry.File.Organisation != org {
		return nil, unknown
	}
	return entry.File, nil
}

// FileContent writes the content of a file to out. It returns a refusal only if
// nothing has been written. An error means that the content is truncated; the
// caller of FileContent must then abort the connection, so that the client does
// not mistake the content for complete.
func (s *Service) FileContent(ctx context.Context, org protocol.OrganisationID, id string, out io.Writer) (*protocol.Refusal, error) {
	if job, failed, ok := parseResultFileID(id); ok {
		return s.resultContent(ctx, org, job, failed, out)
	}
	file, refusal := s.readFile(ctx, org, id)
	if refusal != nil {
		return refusal, nil
	}
	entries := newEntryReader(s.journal)
	for i, ref := range file.Chunks {
		items, err := entries.items(ctx, ref)
		if err != nil && i == 0 {
			return s.storageRefusal(err, "file "+id), nil
		}
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if err := writeInput(out, file.Endpoint, items); err != nil {
			return nil, trace.Wrap(err)
		}
		// A refusal is no longer possible, and a failed read would discard what
		// the client has received.
		entries.tries = persistentTries
	}
	return nil, nil
}
