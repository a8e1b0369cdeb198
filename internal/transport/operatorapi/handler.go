// Package operatorapi answers the operators' calls of one instance: the
// configuration in force and its changes, the withdrawal of keys, and what the
// instance knows of the fleet.
//
// Operators have keys of their own, which stand in the settings of the
// instances and not in the fleet configuration: a caller's key opens nothing
// here, and an operator's key nothing there. A change of the configuration
// thus can't lock the operators out.
package operatorapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/burn"
	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/fleetstatus"
	"merlintiller/internal/coordination/routing"
	"merlintiller/internal/coordination/withdrawal"
	"merlintiller/internal/protocol"
	"merlintiller/internal/settings"
)

// submitTimeout bounds the wait for a record to be read back. It is longer
// than several appends to a slow log and shorter than an operator's patience.
const submitTimeout = 10 * time.Second

// retryLogDown is when to come back after the log was found down.
const retryLogDown = 5 * time.Second

// maxBodyBytes bounds a request. JSON takes about twice the bytes of the log
// entry that it becomes.
const maxBodyBytes = 4 * protocol.MaxEntryBytes

// Config holds what the operators' calls need. Targets and Drain may be nil.
type Config struct {
	Instance protocol.InstanceID
	Keys     []settings.OperatorKey
	Journal  coordination.Journal
	Peers    coordination.Peers
	Withdraw *withdrawal.Service
	Status   *fleetstatus.Collector
	Burn     *burn.Collector
	// Targets gives what the router knows.
	Targets func() []routing.Status
	// Drain makes the instance leave. It returns at once and may be called
	// again.
	Drain  func()
	Logger log.Logger
}

// Handler serves the operators' calls.
type Handler struct {
	config Config
	mux    *http.ServeMux
}

// New builds the handler.
func New(config Config) *Handler {
	h := &Handler{config: config, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET "+PathFleet, h.fleet)
	h.mux.HandleFunc("POST "+PathChanges, h.change)
	h.mux.HandleFunc("GET "+PathHistory, h.history)
	h.mux.HandleFunc("POST "+PathKeys+"{id}/withdraw", h.withdraw)
	h.mux.HandleFunc("GET "+PathInstances, h.instances)
	h.mux.HandleFunc("GET "+PathTargets, h.targets)
	h.mux.HandleFunc("GET "+PathStatus, h.status)
	h.mux.HandleFunc("POST "+PathDrain, h.drain)
	h.mux.HandleFunc("GET "+PathBurn, h.burn)
	h.mux.HandleFunc("/", h.unknown)
	return h
}

// ServeHTTP checks the operator's key and answers the call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The pattern is logged and not the path, in which a secret may stand by
	// mistake.
	_, call := h.mux.Handler(r)
	operator, ok := identify(r, h.config.Keys)
	if !ok {
		_ = level.Warn(h.config.Logger).Log("event", "operator_refused", "remote", r.RemoteAddr, "call", call)
		refuse(w, protocol.Refuse(protocol.CodeUnauthorized, 0, "no valid operator key came with the call"),
			"give an operator's secret; its hash stands under operator_keys in the settings")
		return
	}
	_ = level.Info(h.config.Logger).Log("event", "operator_call", "operator", operator, "call", call)
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	h.mux.ServeHTTP(w, withOperator(r.WithContext(ctx), operator))
}

func (h *Handler) unknown(w http.ResponseWriter, _ *http.Request) {
	refuse(w, protocol.Refuse(protocol.CodeNotFound, 0, "there is no such operators' call"),
		"check that tool and instance are of the same release")
}

func (h *Handler) fleet(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, FleetAnswer{
		Instance: h.config.Instance,
		LogUp:    h.config.Journal.LogUp(),
		Fleet:    h.config.Journal.Fleet(),
	})
}

// answer writes a JSON body.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// An error here means that the operator has gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(body)
}

// refuse writes a refusal and what to do next.
func refuse(w http.ResponseWriter, refusal *protocol.Refusal, next string) {
	if refusal.RetryAfter > 0 {
		seconds := int64((refusal.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	answer(w, refusal.Code.HTTPStatus(), ErrorAnswer{Error: ErrorBody{
		Code: refusal.Code, Message: refusal.Message, RunState: refusal.Run, Next: next,
	}})
}

// read decodes a body strictly. A field that the instance does not know might
// carry the operator's intention, so it is refused and not dropped.
func read(w http.ResponseWriter, r *http.Request, into any) *protocol.Refusal {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil && decoder.Decode(&struct{}{}) != io.EOF {
		err = errors.New("more follows after the JSON value")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return protocol.Refuse(protocol.CodeTooLarge, 0, "the body is larger than %d bytes", tooLarge.Limit)
	default:
		return protocol.Refuse(protocol.CodeBadRequest, 0, "the body can't be read: %v", err)
	}
}
