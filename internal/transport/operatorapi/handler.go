// Package operatorapi is the HTTP API of an instance for operators. It serves the
// configuration in force and its changes, the withdrawal of keys, and the state of
// the fleet as the instance knows it.
//
// Operators have keys of their own, which are part of the settings of the instances
// and not of the fleet configuration. Callers' keys are not valid here, and
// operators' keys are not valid for callers' requests. A change of the fleet
// configuration therefore can't lock out the operators.
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

// submitTimeout limits the wait until a submitted record is read back from the log.
// It is longer than several appends to a slow log and shorter than the time that an
// operator is willing to wait.
const submitTimeout = 10 * time.Second

// retryLogDown is the retry delay if the log is down.
const retryLogDown = 5 * time.Second

// maxBodyBytes is the maximum size of a request body. The JSON encoding of a change
// has about twice the size of its log entry.
const maxBodyBytes = 4 * protocol.MaxEntryBytes

// Config holds the dependencies of a Handler. Targets and Drain may be nil.
type Config struct {
	Instance protocol.InstanceID
	Keys     []settings.OperatorKey
	Journal  coordination.Journal
	Peers    coordination.Peers
	Withdraw *withdrawal.Service
	Status   *fleetstatus.Collector
	Burn     *burn.Collector
	// Targets returns the router's view of the targets.
	Targets func() []routing.Status
	// Drain starts draining the instance. It returns immediately and may be called
	// repeatedly.
	Drain  func()
	Logger log.Logger
}

// Handler serves operators' requests.
type Handler struct {
	config Config
	mux    *http.ServeMux
}

// New returns a Handler.
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
	h.mux.HandleFunc("/", h.notFound)
	return h
}

// ServeHTTP authenticates the operator and serves the request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The log contains the pattern instead of the path, because a path may
	// contain a secret by mistake.
	_, call := h.mux.Handler(r)
	operator, ok := authenticate(r, h.config.Keys)
	if !ok {
		_ = level.Warn(h.config.Logger).Log("event", "operator_refused", "remote", r.RemoteAddr, "call", call)
		writeRefusal(w, protocol.Refuse(protocol.CodeUnauthorized, 0, "the request has no valid operator key"),
			"provide an operator's secret; the settings list its hash under operator_keys")
		return
	}
	_ = level.Info(h.config.Logger).Log("event", "operator_call", "operator", operator, "call", call)
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	h.mux.ServeHTTP(w, withOperator(r.WithContext(ctx), operator))
}

func (h *Handler) notFound(w http.ResponseWriter, _ *http.Request) {
	writeRefusal(w, protocol.Refuse(protocol.CodeNotFound, 0, "the operator API has no such path"),
		"check that the tool and the instance run the same release")
}

func (h *Handler) fleet(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, FleetAnswer{
		Instance: h.config.Instance,
		LogUp:    h.config.Journal.LogUp(),
		Fleet:    h.config.Journal.Fleet(),
	})
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// An error means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// writeRefusal writes a refusal and the next step for the operator.
func writeRefusal(w http.ResponseWriter, refusal *protocol.Refusal, next string) {
	if refusal.RetryAfter > 0 {
		seconds := int64((refusal.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, refusal.Code.HTTPStatus(), ErrorAnswer{Error: ErrorBody{
		Code: refusal.Code, Message: refusal.Message, RunState: refusal.Run, Next: next,
	}})
}

// decodeBody decodes a JSON request body. It rejects unknown fields instead of
// ignoring them, because ignoring one could ignore a part of the change that the
// operator wants.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) *protocol.Refusal {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil && decoder.Decode(&struct{}{}) != io.EOF {
		err = errors.New("unexpected data after the JSON value")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return protocol.Refuse(protocol.CodeTooLarge, 0, "request body exceeds %d bytes", tooLarge.Limit)
	default:
		return protocol.Refuse(protocol.CodeBadRequest, 0, "request body is invalid: %v", err)
	}
}

// leavingRetryAfter is the retry delay while the instance shuts down. Another instance can
// serve the call at once.
const leavingRetryAfter = 100 * time.Millisecond

// WriteLeavingRefusal writes the response to a call that the instance does not read because
// it shuts down.
func WriteLeavingRefusal(w http.ResponseWriter) {
	refusal := protocol.Refuse(protocol.CodeDraining, leavingRetryAfter, "the instance is shutting down")
	writeRefusal(w, refusal, "send the call to another instance")
}
