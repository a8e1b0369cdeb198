// Package platformsrv simulates the platform as a process of its own. Over
// HTTP it serves the log, the list of targets and instances, which lags behind
// changes, and the rate-limited weight store. Faults can be injected into each.
//
// It listens at several addresses, one for each failure domain, so that a test can
// disconnect one domain from the platform and leave the others connected.
package platformsrv

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/memlog"
	"merlintiller/internal/transport/platformhttp"
)

// Options are the limits of a Server.
type Options struct {
	Log memlog.Options
	// ListLag is the age of the list that is served.
	ListLag time.Duration
	// WeightsPerSecond limits the requests to the weight store.
	WeightsPerSecond float64
}

// Faults are the injected faults, set by POST /faults.
type Faults struct {
	// Log is "", "down", "lose_answer", "throttle" or "hang". See memlog.Fault.
	Log string `json:"log"`
	// List is "" or "down".
	List string `json:"list"`
	// DelayMS is the delay of every answer, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// Cut names the listeners that close each connection without an answer.
	Cut []string `json:"cut"`
}

var logFaults = map[string]memlog.Fault{
	"":            memlog.None,
	"down":        memlog.Down,
	"lose_answer": memlog.LoseAnswer,
	"throttle":    memlog.Throttle,
	"hang":        memlog.Hang,
}

type version struct {
	at      time.Time
	number  int
	listing external.Listing
}

// Server simulates the platform.
type Server struct {
	opts    Options
	log     *memlog.Log
	weights *rate.Limiter

	mu       sync.Mutex
	faults   Faults
	listing  external.Listing
	versions []version
	changes  int
}

// New returns a server with an empty log and an empty list.
func New(opts Options) *Server {
	s := &Server{opts: opts, log: memlog.New(opts.Log)}
	s.weights = rate.NewLimiter(rate.Limit(opts.WeightsPerSecond), 1)
	s.log.SetFault(func(string, string, []byte) memlog.Fault { return logFaults[s.currentFaults().Log] })
	return s
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Handler returns the handler for the callers of one listener.
func (s *Server) Handler(listener string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/{stream}", s.append)
	mux.HandleFunc("GET /log/{stream}", s.read)
	mux.HandleFunc("GET /list", s.list)
	mux.HandleFunc("PUT /list/targets/{id}", s.putTarget)
	mux.HandleFunc("DELETE /list/targets/{id}", s.deleteTarget)
	mux.HandleFunc("GET /weights/{model}/{version}", s.weight)
	mux.HandleFunc("POST /faults", s.setFaults)
	mux.HandleFunc("GET /appends", s.appends)
	return s.withFaults(listener, mux)
}

// withFaults aborts or delays requests according to the faults. POST /faults is
// exempt, so that a test can end them.
func (s *Server) withFaults(listener string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := s.currentFaults()
		if r.URL.Path != "/faults" {
			for _, cut := range faults.Cut {
				if cut == listener {
					panic(http.ErrAbortHandler)
				}
			}
			time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxEntryBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := s.log.Append(r.Context(), r.PathValue("stream"), payload)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, platformhttp.AppendReply{Offset: offset})
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err1 := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(query.Get("limit"))
	wait, err3 := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err := errors.Join(err1, err2, err3); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	page, err := s.log.Read(r.Context(), r.PathValue("stream"), protocol.Offset(from), limit, time.Duration(wait)*time.Millisecond)
	trimmed := errors.Is(err, external.ErrTrimmed)
	if err != nil && !trimmed {
		writeError(w, err)
		return
	}
	wire := platformhttp.PageWire{Oldest: page.Oldest, Next: page.Next, Trimmed: trimmed}
	for _, entry := range page.Entries {
		wire.Entries = append(wire.Entries, platformhttp.EntryWire(entry))
	}
	data, err := protocol.Marshal(wire)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if s.currentFaults().List == "down" {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	listing, number := s.laggedListing(time.Now())
	etag := strconv.Quote(strconv.Itoa(number))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, listing)
}

// laggedListing returns the newest listing that is at least ListLag old, and its
// number.
func (s *Server) laggedListing(now time.Time) (external.Listing, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.versions) > 1 && now.Sub(s.versions[1].at) >= s.opts.ListLag {
		s.versions = s.versions[1:]
	}
	if len(s.versions) == 0 || now.Sub(s.versions[0].at) < s.opts.ListLag {
		return external.Listing{}, 0
	}
	return s.versions[0].listing, s.versions[0].number
}

func (s *Server) putTarget(w http.ResponseWriter, r *http.Request) {
	var target external.ListedTarget
	if err := json.NewDecoder(r.Body).Decode(&target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	target.ID = protocol.TargetID(r.PathValue("id"))
	s.changeTargets(target.ID, &target)
}

func (s *Server) deleteTarget(w http.ResponseWriter, r *http.Request) {
	s.changeTargets(protocol.TargetID(r.PathValue("id")), nil)
}

func (s *Server) changeTargets(id protocol.TargetID, added *external.ListedTarget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var targets []external.ListedTarget
	for _, target := range s.listing.Targets {
		if target.ID != id {
			targets = append(targets, target)
		}
	}
	if added != nil {
		targets = append(targets, *added)
	}
	s.listing.Targets = targets
	s.changes++
	s.versions = append(s.versions, version{at: time.Now(), number: s.changes, listing: s.listing})
}

func (s *Server) weight(w http.ResponseWriter, r *http.Request) {
	if !s.weights.Allow() {
		writeError(w, external.ErrThrottled)
		return
	}
	const weightBytes = 16 << 30
	writeJSON(w, platformhttp.WeightReply{Bytes: weightBytes})
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, ok := logFaults[faults.Log]; !ok {
		http.Error(w, "unknown log fault "+faults.Log, http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Server) appends(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.log.Appends())
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, external.ErrThrottled):
		status = http.StatusTooManyRequests
	case errors.Is(err, external.ErrEntryTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
