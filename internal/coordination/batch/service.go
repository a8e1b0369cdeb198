package batch

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"

	"merlintiller/internal/coordination"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// Service is what callers use of batch jobs. Its methods return typed values
// or a refusal, and are safe for concurrent use.
type Service struct {
	journal coordination.Journal
	opts    Options
	logger  log.Logger
	// OnCancel is told of each cancel that replay accepted. May be nil; it
	// must not block.
	OnCancel func(protocol.JobID)
}

// NewService returns a Service over an instance's journal.
func NewService(journal coordination.Journal, opts Options, logger log.Logger) *Service {
	return &Service{journal: journal, opts: opts.withDefaults(), logger: logger}
}

// newJobID draws an id. 128 random bits are unique without agreement, and
// can't be guessed.
func newJobID() protocol.JobID {
	var random [16]byte
	_, _ = rand.Read(random[:])
	return protocol.JobID("batch_" + hex.EncodeToString(random[:]))
}

// refuseStorage turns a failed access to DataStream into a refusal. Nothing
// points at an entry whose append failed, so "not run" is true even if the
// entry stands.
func (s *Service) refuseStorage(err error, what string) *protocol.Refusal {
	if errors.Is(err, external.ErrTrimmed) {
		return protocol.Refuse(protocol.CodeGone, 0, "%s has left the platform's retention", what)
	}
	if errors.Is(err, protocol.ErrMalformed) || trace.IsNotFound(err) {
		return protocol.Refuse(protocol.CodeNotFound, 0, "%s does not exist", what)
	}
	return protocol.Refuse(protocol.CodePlatformDown, s.opts.RetryAfter, "the platform's log does not answer for %s", what)
}

// awaitChange waits for the next applied frame. It reports false when the wait
// is over without one.
func awaitChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}
