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

// HistoryAnswer lists changes of the configuration, the newest first.
type HistoryAnswer struct {
	Instance protocol.InstanceID `json:"instance"`
	Changes  []fleet.Change      `json:"changes"`
}

// InstanceEntry is an instance that is known here.
type InstanceEntry struct {
	Instance protocol.InstanceID `json:"instance"`
	Domain   protocol.Domain     `json:"domain"`
	// Session is its open session; empty if the log holds none.
	Session     string `json:"session,omitempty"`
	PeerAddress string `json:"peer_address"`
	// Reachable says that a heartbeat came lately, or that it is this instance.
	Reachable bool `json:"heard"`
	// SinceHeartbeatMS is the time since its last heartbeat.
	SinceHeartbeatMS int64 `json:"silent_ms"`
}

// InstancesAnswer lists the instances known to the answering one.
type InstancesAnswer struct {
	Instance  protocol.InstanceID `json:"instance"`
	LogUp     bool                `json:"log_up"`
	Instances []InstanceEntry      `json:"instances"`
}

// TargetsAnswer lists the targets known to the answering instance.
type TargetsAnswer struct {
	Instance protocol.InstanceID `json:"instance"`
	Targets  []routing.Status    `json:"targets"`
}

// DrainAnswer confirms that the instance leaves.
type DrainAnswer struct {
	Instance protocol.InstanceID `json:"instance"`
	Message  string              `json:"message"`
	Next     string              `json:"next"`
}

func (h *Handler) history(w http.ResponseWriter, _ *http.Request) {
	out := HistoryAnswer{Instance: h.config.Instance, Changes: []fleet.Change{}}
	h.config.Journal.View(func(state *replica.State) { out.Changes = append(out.Changes, state.Fleet.History()...) })
	slices.Reverse(out.Changes)
	answer(w, http.StatusOK, out)
}

// instances joins the sessions in the log with what heartbeats say. Either may
// know an instance that the other does not: a starting one has no session yet,
// and one in a cut-off domain sends no heartbeat here.
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
	answer(w, http.StatusOK, out)
}

func (h *Handler) targets(w http.ResponseWriter, _ *http.Request) {
	out := TargetsAnswer{Instance: h.config.Instance, Targets: []routing.Status{}}
	if h.config.Targets != nil {
		out.Targets = append(out.Targets, h.config.Targets()...)
	}
	answer(w, http.StatusOK, out)
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	answer(w, http.StatusOK, h.config.Status.Status(r.Context()))
}

func (h *Handler) burn(w http.ResponseWriter, r *http.Request) {
	request := burn.Request{Organisation: protocol.OrganisationID(r.URL.Query().Get("organisation"))}
	report, err := h.config.Burn.Report(r.Context(), request)
	if err != nil {
		_ = level.Error(h.config.Logger).Log("event", "burn_failed", "err", err)
		refuse(w, protocol.Refuse(protocol.CodeInternal, 0, "the report can't be made"), "see the instance's log")
		return
	}
	answer(w, http.StatusOK, report)
}

// drain answers before the instance leaves: afterwards nobody is there to.
func (h *Handler) drain(w http.ResponseWriter, r *http.Request) {
	if h.config.Drain == nil {
		refuse(w, protocol.Refuse(protocol.CodeNotFound, 0, "this instance can't be drained by a call"), "send SIGTERM to its process")
		return
	}
	_ = level.Info(h.config.Logger).Log("event", "drain_asked", "operator", operatorOf(r))
	h.config.Drain()
	answer(w, http.StatusAccepted, DrainAnswer{
		Instance: h.config.Instance,
		Message:  string(h.config.Instance) + " is leaving: it takes no new calls, finishes those in flight, and hands over what it holds",
		Next:     "wait until its process has ended; until then status shows it as draining",
	})
}

// statusTimeout bounds the work for one call, above the time that a fan-out
// over 340 instances of which a domain does not answer can take.
const statusTimeout = 20 * time.Second
