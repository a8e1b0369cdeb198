package batchapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/protocol"
)

// A caller sends a batch request that can't be decoded or is invalid. The response
// must be a client error with run state not_run. The service has no journal, so
// accepting a request would panic.
func FuzzCreate(f *testing.F) {
	f.Add(`{"input_file_id":"x","endpoint":"/v1/chat/completions","completion_window":"24h"}`)
	f.Add(`{"metadata":{"a":1}}`)
	f.Add(`[]`)
	f.Add(``)
	organisation := func(*http.Request) protocol.OrganisationID { return "o" }
	api := New(batch.NewService(nil, batch.Options{}, log.NewNopLogger()), organisation, log.NewNopLogger())
	f.Fuzz(func(t *testing.T, body string) {
		answer := httptest.NewRecorder()
		api.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/v1/batches", strings.NewReader(body)))
		require.GreaterOrEqual(t, answer.Code, http.StatusBadRequest)
		require.Less(t, answer.Code, http.StatusInternalServerError)
		var refusal struct {
			Error struct {
				RunState protocol.RunState `json:"run_state"`
			}
		}
		require.NoError(t, json.Unmarshal(answer.Body.Bytes(), &refusal), answer.Body.String())
		require.Equal(t, protocol.NotRun, refusal.Error.RunState)
	})
}
