package batchapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log"

	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/protocol"
)

// Organisation returns the organisation of an authenticated request. The edge
// authenticates requests before it calls a handler.
type Organisation func(*http.Request) protocol.OrganisationID

// API implements the HTTP handlers.
type API struct {
	service      *batch.Service
	organisation Organisation
	logger       log.Logger
}

// New returns an API that uses service.
func New(service *batch.Service, organisation Organisation, logger log.Logger) *API {
	return &API{service: service, organisation: organisation, logger: logger}
}

// Handler returns a handler for all paths of the API.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	a.Register(mux)
	return mux
}

// Register registers the paths of the API with mux.
func (a *API) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/files", a.uploadFile)
	mux.HandleFunc("GET /v1/files/{id}", a.getFile)
	mux.HandleFunc("GET /v1/files/{id}/content", a.fileContent)
	mux.HandleFunc("POST /v1/batches", a.createBatch)
	mux.HandleFunc("GET /v1/batches", a.listBatches)
	mux.HandleFunc("GET /v1/batches/{id}", a.getBatch)
	mux.HandleFunc("POST /v1/batches/{id}/cancel", a.cancelBatch)
}

// runStateHeader is the response header with the run state of the request: whether
// the request had, or may have had, an effect.
const runStateHeader = "X-Run-State"

type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param,omitempty"`
	Code    string `json:"code"`
	// RunState is "not_run" only if the request certainly had no effect.
	RunState string `json:"run_state"`
}

// reject responds with a refusal.
func (a *API) reject(w http.ResponseWriter, refusal *protocol.Refusal) {
	status := refusal.Code.HTTPStatus()
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set(runStateHeader, string(refusal.Run))
	a.writeJSON(w, status, errorBody{Error: errorObject{
		Message:  refusal.Message,
		Type:     errorType(status),
		Param:    refusal.Param,
		Code:     string(refusal.Code),
		RunState: string(refusal.Run),
	}})
}

func errorType(status int) string {
	if status >= http.StatusInternalServerError {
		return "server_error"
	}
	return "invalid_request_error"
}

func (a *API) writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		_ = a.logger.Log("event", "reply_cut", "err", err)
	}
}

// unixOrZero returns t in seconds since the Unix epoch, or 0 for the zero time.
func unixOrZero(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.Unix()
}
