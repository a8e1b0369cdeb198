package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"merlintiller/internal/closing"
	"merlintiller/internal/protocol"
)

// Target is one stand-in. It serves its calls as an http.Handler.
type Target struct {
	cfg Config
	mux *http.ServeMux

	mu     sync.Mutex
	faults Faults
	// changed is closed when the faults are set anew.
	changed  chan struct{}
	running  map[protocol.CallID]context.CancelFunc
	loads    []loadSample
	leaving  bool
	crossing chan *crossed
	order    orderBook
	cache    cacheLog
	runs     Executions
}

// New returns a stand-in that runs no call.
func New(cfg Config) *Target {
	t := &Target{
		cfg:      cfg.withDefaults(),
		mux:      http.NewServeMux(),
		changed:  make(chan struct{}),
		running:  map[protocol.CallID]context.CancelFunc{},
		crossing: make(chan *crossed),
		runs:     Executions{ByCall: map[protocol.CallID]int{}, ByBody: map[string]int{}},
	}
	t.routes()
	return t
}

func (t *Target) routes() {
	t.mux.HandleFunc("POST /faults", t.setFaults)
	t.mux.HandleFunc("POST /leave", t.leave)
	t.mux.HandleFunc("GET /executions", t.executions)
	t.mux.HandleFunc("GET /load", t.frozen(t.load))
	t.mux.HandleFunc("GET /cache-events", t.frozen(t.cacheEvents))
	t.mux.HandleFunc("POST /cancel/{id}", t.frozen(t.cancel))
	t.mux.HandleFunc("POST /orders", t.frozen(t.giveOrder))
	t.mux.HandleFunc("GET /orders", t.frozen(t.currentOrder))
	if t.cfg.Kind == protocol.KindPlain {
		t.mux.HandleFunc("/", t.call(t.plain))
		return
	}
	t.mux.HandleFunc("POST /v1/chat/completions", t.call(t.chat))
	t.mux.HandleFunc("POST /v1/completions", t.call(t.chat))
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mux.ServeHTTP(w, r)
}

// InFlight counts the calls that run now.
func (t *Target) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running)
}

// Run serves the stand-in on its address until ctx ends.
func Run(ctx context.Context, cfg Config) error {
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{Handler: New(cfg), ReadHeaderTimeout: 10 * time.Second}
	wait := closing.OnDone(ctx, func() { _ = server.Close() })
	defer wait()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}
