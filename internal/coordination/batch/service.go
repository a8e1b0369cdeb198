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

// Service is the interface of batch jobs for callers. Its methods return typed
// values or a refusal. They are safe for concurrent use.
type Service struct {
	journal coordination.Journal
	opts    Options
	logger  log.Logger
	// OnCancel is called for each cancel that replay accepted. It may be nil and
	// must not block.
	OnCancel func(protocol.JobID)
}

// NewService returns a Service that uses the journal of an instance.
func NewService(journal coordination.Journal, opts Options, logger log.Logger) *Service {
	return &Service{journal: journal, opts: opts.withDefaults(), logger: logger}
}

// newJobID returns a random id of 128 bits: unique without coordination between
// instances, and impossible to guess.
func newJobID() protocol.JobID {
	var random [16]byte
	_, _ = rand.Read(random[:])
	return protocol.JobID("batch_" + hex.EncodeToString(random[:]))
}

// storageRefusal converts a failed access to DataStream into a refusal. No
// record refers to an entry whose append failed, so reporting "not run" is
// correct even if the entry was stored. what names the data in the message.
func (s *Service) storageRefusal(err error, what string) *protocol.Refusal {
	if errors.Is(err, external.ErrTrimmed) {
		return protocol.Refuse(protocol.CodeGone, 0, "%s is no longer available: the platform's retention time has passed", what)
	}
	if errors.Is(err, protocol.ErrMalformed) || trace.IsNotFound(err) {
		return protocol.Refuse(protocol.CodeNotFound, 0, "%s does not exist", what)
	}
	return protocol.Refuse(protocol.CodePlatformDown, s.opts.RetryAfter, "%s is not available at the moment: the platform's log does not respond", what)
}

// waitForChange waits until changed is closed. It reports false if the timeout
// passes or ctx ends first.
func waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) bool {
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
