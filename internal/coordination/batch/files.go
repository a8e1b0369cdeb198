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

// File is a file as callers see it.
type File struct {
	ID      string
	Name    string
	Bytes   int64
	Purpose string
	Created time.Time
	// Expires is when the file may no longer be there.
	Expires time.Time
}

// The purposes of files.
const (
	PurposeBatch  = "batch"
	PurposeOutput = "batch_output"
)

// maxChunks bounds the chunks of a file, since all their offsets stand in the
// manifest, which must fit in a log entry with others.
const maxChunks = 20_000

// UploadFile stores an input file. It is acknowledged once its last entry
// stands in the log, and outlives the instance from then on.
func (s *Service) UploadFile(ctx context.Context, org protocol.OrganisationID, name string, input io.Reader) (File, *protocol.Refusal) {
	chunks := newChunker(s.opts, input)
	var entries []protocol.ChunkRef
	for {
		items, err := chunks.next()
		if err != nil {
			return File{}, refuseInput(err)
		}
		if len(items) == 0 {
			break
		}
		at, err := s.appendEntry(ctx, bulk.Entry{Items: items})
		if err != nil {
			return File{}, s.refuseStorage(err, "the upload")
		}
		entries = append(entries, protocol.ChunkRef{Offset: at, Items: len(items)})
	}
	if len(entries) == 0 {
		return File{}, badRequest("file", "the file has no items")
	}
	refs := split(entries, s.chunkItems(chunks.items))
	if len(refs) > maxChunks {
		return File{}, protocol.Refuse(protocol.CodeTooLarge, 0, "the file has more than %d chunks", maxChunks)
	}
	return s.describe(ctx, bulk.File{
		Organisation: org,
		Name:         name,
		Bytes:        chunks.bytes,
		Items:        chunks.items,
		Hash:         chunks.hash.Sum64(),
		Endpoint:     chunks.endpoint,
		Chunks:       refs,
		Models:       slices.Sorted(maps.Keys(chunks.models)),
		Created:      time.Now().UTC().Truncate(time.Second),
	})
}

// Bounds of the size of chunks. Smaller ones spread a small job over all
// instances, each of which reaches only the targets it feeds; larger ones cost
// fewer appends.
const (
	minChunkItems     = 16
	chunksPerInstance = 4
)

// chunkItems chooses the size of the chunks of a file.
func (s *Service) chunkItems(items int) int {
	instances := 0
	s.journal.View(func(state *replica.State) { instances = len(openIDs(state)) })
	size := ceilDivide(items, max(1, instances)*chunksPerInstance)
	return min(max(size, minChunkItems), protocol.MaxChunkItems)
}

// split cuts the items of entries into chunks.
func split(entries []protocol.ChunkRef, size int) (refs []protocol.ChunkRef) {
	for _, entry := range entries {
		for first := 0; first < entry.Items; first += size {
			count := min(size, entry.Items-first)
			refs = append(refs, protocol.ChunkRef{Offset: entry.Offset, Items: count, First: first})
		}
	}
	return refs
}

// describe appends the description, after which the file exists.
func (s *Service) describe(ctx context.Context, file bulk.File) (File, *protocol.Refusal) {
	if refusal := s.checkModels(file.Models); refusal != nil {
		return File{}, refusal
	}
	payload, err := bulk.Encode(bulk.Entry{At: time.Now().Unix(), File: &file})
	if err != nil {
		return File{}, protocol.Refuse(protocol.CodeTooLarge, 0, "the file has too many chunks")
	}
	at, err := s.appendData(ctx, payload)
	if err != nil {
		return File{}, s.refuseStorage(err, "the upload")
	}
	return s.fileView(fileID(at, payload), &file), nil
}

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

// checkModels refuses models that batch can't run. Items run again when an
// instance dies in the middle of one, so they may only go to services whose
// calls may be repeated.
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
			return badRequest("body.model", "model %q is served by a service whose calls may not be repeated, which batch needs", name)
		}
	}
	return nil
}

func badRequest(param, format string, args ...any) *protocol.Refusal {
	refusal := protocol.Refuse(protocol.CodeBadRequest, 0, format, args...)
	refusal.Param = param
	return refusal
}

func refuseInput(err error) *protocol.Refusal {
	var line *LineError
	if errors.As(err, &line) {
		return badRequest(cmp.Or(line.Field, "file"), "%s", line.Error())
	}
	if errors.Is(err, errTooLarge) {
		return protocol.Refuse(protocol.CodeTooLarge, 0, "%s", err)
	}
	return badRequest("file", "the upload broke off: %s", err)
}

func (s *Service) appendEntry(ctx context.Context, entry bulk.Entry) (protocol.Offset, error) {
	entry.At = time.Now().Unix()
	payload, err := bulk.Encode(entry)
	if err != nil {
		return protocol.NoOffset, trace.Wrap(err)
	}
	at, err := s.appendData(ctx, payload)
	return at, trace.Wrap(err)
}

// appendData bounds one append: the journal goes on trying for as long as it
// is let, and a caller is better told to come back.
func (s *Service) appendData(ctx context.Context, payload []byte) (protocol.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.SubmitTimeout)
	defer cancel()
	return s.journal.AppendData(ctx, payload)
}

// File returns a file of the organisation. To any other it does not exist.
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
		return nil, s.refuseStorage(err, "file "+id)
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

// FileContent writes the content of a file. It refuses before the first byte
// or not at all; an error after that leaves the content short, and the caller
// must break the connection so that nobody takes it for whole.
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
			return s.refuseStorage(err, "file "+id), nil
		}
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if err := writeInput(out, file.Endpoint, items); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return nil, nil
}
