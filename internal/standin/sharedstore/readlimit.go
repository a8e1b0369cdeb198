package sharedstore

import (
	"maps"
	"net/http"
	"time"
)

// maxReadBacklog is the time that answers may wait for the channel of all reads. Beyond
// it, reads are refused.
const maxReadBacklog = 2 * time.Second

// readChannel is the channel that the answers to the reads of all endpoints share. Store.mu
// guards it.
type readChannel struct {
	// bytesPerSecond is its rate. 0 means no limit.
	bytesPerSecond float64
	// freeAt is when the last accepted answer has been sent.
	freeAt time.Time
}

// SetReadBytesPerSecond limits the bytes that all endpoints together read in a second. 0,
// the default, means no limit. Answers are sent one after the other. A read is answered
// with 503, which takes no time, while the answers before it need more than two seconds.
func (s *Store) SetReadBytesPerSecond(limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads = readChannel{bytesPerSecond: limit}
}

// backlogged reports whether reads are refused now.
func (c *readChannel) backlogged() bool {
	return c.bytesPerSecond > 0 && time.Until(c.freeAt) > maxReadBacklog
}

// reserve takes the time for an answer at the end of the queue and returns when it ends.
// It returns false if reads are refused.
func (c *readChannel) reserve(size int) (until time.Time, ok bool) {
	now := time.Now()
	if c.bytesPerSecond <= 0 {
		return now, true
	}
	if c.backlogged() {
		return time.Time{}, false
	}
	if c.freeAt.Before(now) {
		c.freeAt = now
	}
	c.freeAt = c.freeAt.Add(time.Duration(float64(size) / c.bytesPerSecond * float64(time.Second)))
	return c.freeAt, true
}

// ReadSource is a kind of read, "log-read" or "log-newest", and the partition that is read.
type ReadSource struct {
	Kind, Topic string
	Number      int
}

// ReadCount counts the reads of one ReadSource.
type ReadCount struct {
	// Answers and Bytes count the answers sent. Unused is the part of Bytes that was sent
	// after the caller had given up.
	Answers       int
	Bytes, Unused int64
	// Refused counts the reads answered with 503 because of the limit.
	Refused int
}

// Reads returns the reads of this endpoint so far.
func (e *Endpoint) Reads() map[ReadSource]ReadCount {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.reads)
}

// countRead changes the count of a source.
func (e *Endpoint) countRead(source ReadSource, change func(*ReadCount)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := e.reads[source]
	change(&count)
	e.reads[source] = count
}

// refuseRead answers a read with 503 if reads are refused now. It reports whether it did.
func (e *Endpoint) refuseRead(w http.ResponseWriter, source ReadSource) bool {
	e.store.mu.Lock()
	refused := e.store.reads.backlogged()
	e.store.mu.Unlock()
	if refused {
		e.answerRefused(w, source)
	}
	return refused
}

func (e *Endpoint) answerRefused(w http.ResponseWriter, source ReadSource) {
	e.countRead(source, func(c *ReadCount) { c.Refused++ })
	w.WriteHeader(http.StatusServiceUnavailable)
}

// sendRead sends the answer to a read when the shared channel has transferred it.
func (e *Endpoint) sendRead(w http.ResponseWriter, r *http.Request, source ReadSource, data []byte) {
	e.store.mu.Lock()
	until, ok := e.store.reads.reserve(len(data))
	e.store.mu.Unlock()
	if !ok {
		e.answerRefused(w, source)
		return
	}
	// Assumption: an answer that waits for the channel takes its full time there, even if its caller leaves.
	pause(r.Context(), time.Until(until))
	left := r.Context().Err() != nil
	e.countRead(source, func(c *ReadCount) {
		c.Answers++
		c.Bytes += int64(len(data))
		if left {
			c.Unused += int64(len(data))
		}
	})
	if !left {
		_, _ = w.Write(data)
	}
}
