package routed

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/platform"
)

const (
	// storeCallsInterval is the period of the lines that sum up the calls of the store.
	storeCallsInterval = 2 * time.Second
	// notableBytes is the number of bytes received in an interval above which calls are
	// logged although none failed. An instance that only follows the store receives less.
	notableBytes = 256 << 10
)

// storeCalls sums up the calls of the store by kind. It logs the kinds of which a call
// failed, received bytes were not used, or many bytes were received. It is a background
// service.
type storeCalls struct {
	logger log.Logger

	mu    sync.Mutex
	kinds map[platform.CallKind]*callSums
}

// callSums holds the sums of one kind in one interval.
type callSums struct {
	outcomes [platform.CallOutcomes]int
	// received are the bytes of whole answers. cutOff and unusedPages are the bytes that
	// were received and not used; those of pages are part of received.
	received, cutOff, unusedPages int
	longest                       time.Duration
}

// String is the name of the background service.
func (c *storeCalls) String() string { return "store-calls" }

// Serve logs the sums of each interval until ctx ends.
func (c *storeCalls) Serve(ctx context.Context) error {
	ticker := time.NewTicker(storeCallsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.flush()
		case <-ctx.Done():
			c.flush()
			return ctx.Err()
		}
	}
}

// add adds a call. It is called by every call of the store.
func (c *storeCalls) add(r platform.CallReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sums := c.kinds[r.Kind]
	if sums == nil {
		sums = &callSums{}
		c.kinds[r.Kind] = sums
	}
	sums.add(&r)
}

func (s *callSums) add(r *platform.CallReport) {
	if r.UnusedPages > 0 {
		s.unusedPages += r.UnusedPages
		return
	}
	s.outcomes[r.Outcome]++
	s.received += r.Received
	s.cutOff += r.CutOff
	s.longest = max(s.longest, r.Duration)
}

// flush logs the sums since the last flush and begins anew.
func (c *storeCalls) flush() {
	c.mu.Lock()
	kinds := c.kinds
	c.kinds = make(map[platform.CallKind]*callSums, len(kinds))
	c.mu.Unlock()
	names := make([]platform.CallKind, 0, len(kinds))
	for kind, sums := range kinds {
		if sums.notable() {
			names = append(names, kind)
		}
	}
	slices.SortFunc(names, func(a, b platform.CallKind) int {
		return cmp.Or(cmp.Compare(a.Call, b.Call), cmp.Compare(a.Topic, b.Topic))
	})
	for _, kind := range names {
		kinds[kind].log(c.logger, kind)
	}
}

// notable says whether the calls of an interval are worth a line.
func (s *callSums) notable() bool {
	return s.failures() > 0 || s.cutOff+s.unusedPages > 0 || s.received > notableBytes
}

// failures counts the calls that the store did not answer as intended. A rejected call was
// answered, and an abandoned one was ended by this instance.
func (s *callSums) failures() int {
	return s.outcomes[platform.CallNotPerformed] + s.outcomes[platform.CallThrottled] + s.outcomes[platform.CallTimedOut] +
		s.outcomes[platform.CallFailed] + s.outcomes[platform.CallNotConnected]
}

func (s *callSums) log(logger log.Logger, kind platform.CallKind) {
	calls := 0
	fields := []any{"event", "store_calls", "call", kind.Call, "topic", kind.Topic}
	for outcome, count := range s.outcomes {
		calls += count
		fields = append(fields, platform.CallOutcome(outcome).String(), count)
	}
	fields = append(fields, "calls", calls, "received_bytes", s.received, "cut_off_bytes", s.cutOff,
		"unused_page_bytes", s.unusedPages, "longest_ms", s.longest.Milliseconds())
	_ = level.Info(logger).Log(fields...)
}
