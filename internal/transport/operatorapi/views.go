package operatorapi

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/burn"
	"merlintiller/internal/coordination/routing"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/fleet"
	"merlintiller/internal/state/replica"
)

// HistoryAnswer lists changes of the configuration, newest first.
type HistoryAnswer struct {
	Instance protocol.InstanceID `json:"instance"`
	Changes  []fleet.Change      `json:"changes"`
}

// InstanceEntry describes an instance that the responding instance knows.
type InstanceEntry struct {
	Instance protocol.InstanceID `json:"instance"`
	Domain   protocol.Domain     `json:"domain"`
	// Session is the open session of the instance, or empty if the log contains
	// none.
	Session     string `json:"session,omitempty"`
	PeerAddress string `json:"peer_address"`
	// Reachable reports whether a heartbeat was received recently. It is true for
	// the responding instance.
	Reachable bool `json:"heard"`
	// SinceHeartbeatMS is the time since the last heartbeat in milliseconds.
	SinceHeartbeatMS int64 `json:"silent_ms"`
}

// InstancesAnswer lists the instances that the responding instance knows.
type InstancesAnswer struct {
	Instance  protocol.InstanceID `json:"instance"`
	LogUp     bool                `json:"log_up"`
	Instances []InstanceEntry     `json:"instances"`
}

// TargetsAnswer lists the targets that the responding instance knows.
type TargetsAnswer struct {
	Instance protocol.InstanceID `json:"instance"`
	Targets  []routing.Status    `json:"targets"`
}

// DrainAnswer confirms that the instance is draining.
type DrainAnswer struct {
	Instance protocol.InstanceID `json:"instance"`
	Message  string              `json:"message"`
	Next     string              `json:"next"`
}

func (h *Handler) history(w http.ResponseWriter, _ *http.Request) {
	out := HistoryAnswer{Instance: h.config.Instance, Changes: []fleet.Change{}}
	h.config.Journal.View(func(state *replica.State) { out.Changes = append(out.Changes, state.Fleet.History()...) })
	slices.Reverse(out.Changes)
	writeJSON(w, http.StatusOK, out)
}

// instances merges the sessions in the log with the peers known from heartbeats.
// Each source may lack an instance that the other has: a starting instance has no
// session yet, and no heartbeats arrive from an isolated domain.
func (h *Handler) instances(w http.ResponseWriter, _ *http.Request) {
	lines := map[protocol.InstanceID]InstanceEntry{}
	h.config.Journal.View(func(state *replica.State) {
		for _, info := range state.Sessions.All() {
			lines[info.Instance] = InstanceEntry{
				Instance: info.Instance, Domain: info.Domain, Session: info.Session.String(),
				PeerAddress: info.PeerAddress, Reachable: info.Instance == h.config.Instance,
			}
		}
	})
	for _, peer := range h.config.Peers.List() {
		line := lines[peer.Instance]
		line.Instance, line.Domain, line.PeerAddress = peer.Instance, peer.Domain, peer.Address
		line.Reachable, line.SinceHeartbeatMS = peer.Reachable, peer.Silent.Milliseconds()
		lines[peer.Instance] = line
	}
	out := InstancesAnswer{Instance: h.config.Instance, LogUp: h.config.Journal.LogUp(), Instances: []InstanceEntry{}}
	for _, line := range lines {
		out.Instances = append(out.Instances, line)
	}
	slices.SortFunc(out.Instances, func(a, b InstanceEntry) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Instance, b.Instance))
	})
	writeJSON(w, http.StatusOK, out)
}

func (h *Handler) targets(w http.ResponseWriter, _ *http.Request) {
	out := TargetsAnswer{Instance: h.config.Instance, Targets: []routing.Status{}}
	if h.config.Targets != nil {
		out.Targets = append(out.Targets, h.config.Targets()...)
	}
	writeJSON(w, http.StatusOK, out)
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, h.config.Status.Status(r.Context()))
}

func (h *Handler) burn(w http.ResponseWriter, r *http.Request) {
	request := burn.Request{Organisation: protocol.OrganisationID(r.URL.Query().Get("organisation"))}
	report, err := h.config.Burn.Report(r.Context(), request)
	if err != nil {
		_ = level.Error(h.config.Logger).Log("event", "burn_failed", "err", err)
		writeRefusal(w, protocol.Refuse(protocol.CodeInternal, 0, "the burn report could not be created"), "see the instance's log")
		return
	}
	writeJSON(w, http.StatusOK, report)
}

// drain starts draining the instance. It responds immediately, because the process
// ends after the drain.
func (h *Handler) drain(w http.ResponseWriter, r *http.Request) {
	if h.config.Drain == nil {
		writeRefusal(w, protocol.Refuse(protocol.CodeNotFound, 0, "this instance can't be drained over the operator API"), "send SIGTERM to its process")
		return
	}
	_ = level.Info(h.config.Logger).Log("event", "drain_asked", "operator", operatorFrom(r))
	h.config.Drain()
	writeJSON(w, http.StatusAccepted, DrainAnswer{
		Instance: h.config.Instance,
		Message:  string(h.config.Instance) + " is draining: it accepts no new calls, completes the calls in flight, and hands over what it holds",
		Next:     "wait until its process has ended; until then status shows it as draining",
	})
}

// statusTimeout limits the time of one request. It is longer than a fan-out to 340
// instances takes if one domain does not respond.
const statusTimeout = 20 * time.Second
