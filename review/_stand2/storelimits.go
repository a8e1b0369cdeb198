package main

import (
	"net/http"
	"sync"
	"time"
)

// The rates and sizes of the store (DEPLOY.md, settings of a process; PROTOCOL.md, the platform's metadata store).
const (
	appendTime       = 2 * time.Millisecond
	partBytesPerSec  = 20e6
	readBytesPerSec  = 80e6
	maxAppendBacklog = 2 * time.Second
	maxStored        = 400 << 20
)

// limitedStore gives the appends of a store the times and limits of the pages.
type limitedStore struct {
	next http.Handler

	mu     sync.Mutex
	freeAt map[string]time.Time
	stored int64
	full   time.Time
}

func newLimitedStore(next http.Handler) *limitedStore {
	return &limitedStore{next: next, freeAt: map[string]time.Time{}}
}

// ServeHTTP implements http.Handler.
func (s *limitedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/log-append" {
		s.next.ServeHTTP(w, r)
		return
	}
	query := r.URL.Query()
	part := query.Get("topic") + "/" + query.Get("part")
	s.mu.Lock()
	now := time.Now()
	free := s.freeAt[part]
	if free.Before(now) {
		free = now
	}
	status := 0
	switch {
	case free.Sub(now) > maxAppendBacklog:
		status = http.StatusServiceUnavailable
	case s.stored+r.ContentLength > maxStored:
		status = http.StatusInsufficientStorage
		if s.full.IsZero() {
			s.full = now
		}
	}
	if status == 0 {
		free = free.Add(appendTime + time.Duration(float64(r.ContentLength)/partBytesPerSec*float64(time.Second)))
		s.freeAt[part] = free
		s.stored += r.ContentLength
	}
	s.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	time.Sleep(time.Until(free))
	s.next.ServeHTTP(w, r)
}

// size returns the bytes of all appends.
func (s *limitedStore) size() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stored
}

// fullSince returns when the store first refused an append since it was full, zero if it never did.
func (s *limitedStore) fullSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full
}
