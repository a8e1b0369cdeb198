package routed

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
)

// target is an engine with its address, failure domain and entry in the list of targets.
type target struct {
	*engine.Engine
	fleet   *testFleet
	id, ip  string
	domain  string
	version string
	state   string
	started int64
	// listedAt is when a target that comes back was listed, zero if it has not been.
	// endedAt is when a target of a crashFleet crashed.
	listedAt, endedAt time.Time
	silent            bool
	server            *http.Server
}

// addTarget starts a target that is listed at once.
func (fleet *testFleet) addTarget(id, domain, ip string, opts engine.Options) *target {
	target := fleet.newTarget(id, domain, ip, opts)
	target.listen()
	target.register()
	fleet.background.Go(target.heartbeatLoop)
	return target
}

// newTarget returns a target that neither listens nor is listed yet.
func (fleet *testFleet) newTarget(id, domain, ip string, opts engine.Options) *target {
	opts.ID, opts.Born = id, time.Now().UnixMilli()
	if opts.Slots == 0 {
		opts.Slots, opts.QueueSize, opts.EventInterval = 8, 24, 20*time.Millisecond
	}
	target := &target{
		Engine: engine.New(opts), fleet: fleet, id: id, ip: ip, domain: domain, version: "v1", state: "ready", started: opts.Born,
	}
	if opts.Version != "" {
		target.version = opts.Version
	}
	fleet.targets = append(fleet.targets, target)
	return target
}

func (t *target) listen() {
	listener, err := t.fleet.net.Host(t.ip).Listen(t.ip + ":8000")
	require.NoError(t.fleet.t, err)
	t.server = &http.Server{Handler: t.Engine}
	t.fleet.background.Go(func() { _ = t.server.Serve(listener) })
}

// register writes the target's entry to the list of targets.
func (t *target) register() {
	data, err := json.Marshal(map[string]any{
		"service": "svc", "address": t.ip + ":8000", "zone": t.domain, "version": t.version, "slots": 8,
		"state": t.state, "cold_left_ms": max(0, time.Until(t.WarmAt()).Milliseconds()), "born": t.started, "seq": time.Now().UnixMilli(),
	})
	require.NoError(t.fleet.t, err)
	t.fleet.store.Put("keyed.servers", t.id, data)
}

// heartbeatLoop renews the entry every 1.2 s.
func (t *target) heartbeatLoop() {
	ticker := time.NewTicker(1200 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if !t.silent {
				t.register()
			}
		case <-t.fleet.ctx.Done():
			return
		}
	}
}
