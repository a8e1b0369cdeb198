package operatorapi

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
)

// An operator's tool of another release, or a defective tool, sends a change that
// can't be decoded. The response must be an error, and no record may be submitted.
func FuzzChange(f *testing.F) {
	f.Add(`{"change_id":"c","based_on":9,"set":[{"organisation":{"id":"o","rate":1,"burst":1}}]}`)
	f.Add(`{"change_id":1}`)
	f.Add(`{} {}`)
	f.Add(``)
	f.Fuzz(func(t *testing.T, body string) {
		fixture := newFixture(coordination.Outcome{Run: protocol.Completed, Verdict: protocol.Accepted})
		answer := fixture.call(http.MethodPost, PathChanges, operatorSecret, body)
		require.True(t, json.Valid(answer.Body.Bytes()), answer.Body.String())
		if answer.Code >= http.StatusBadRequest {
			require.Empty(t, fixture.journal.records, body)
		}
	})
}
