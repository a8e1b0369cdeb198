package daemon

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// stored is all that stands in the platform's log.
func (i *instance) stored() string {
	i.t.Helper()
	var all strings.Builder
	for _, stream := range []string{protocol.ControlStream, protocol.DataStream, protocol.SnapshotStream} {
		from := protocol.Offset(0)
		for {
			var page external.Page
			page, err := i.platform.Read(i.t.Context(), stream, from, 256, 0)
			require.NoError(i.t, err)
			for _, entry := range page.Entries {
				all.Write(entry.Payload)
				from = entry.Offset + 1
			}
			if len(page.Entries) == 0 {
				break
			}
		}
	}
	return all.String()
}

func (i *instance) expvar() string {
	i.t.Helper()
	answer, err := http.Get("http://" + i.settings.Listen.Operators + "/debug/vars")
	require.NoError(i.t, err)
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	require.NoError(i.t, err)
	return string(data)
}

// Somebody reads a log file, the metrics or the platform's log and finds a
// caller's or an operator's secret there. From then on they can act for that
// organisation, or change the fleet. The secrets are used here in every way,
// right and wrong, and must stand nowhere.
func TestNoSecretIsWrittenAnywhere(t *testing.T) {
	i := startInstance(t, startPlatform(t), nil)
	i.ctl("config", "apply", "../../examples/cascadia")
	var key struct{ ID, Secret string }
	require.NoError(t, json.Unmarshal([]byte(i.ctl("key", "create", "hollister-field", "--output", "json")), &key))
	require.NotEmpty(t, key.Secret)

	chat := `{"model":"tiller-reports","messages":[{"role":"user","content":"x"}]}`
	calls := []struct{ method, path, secret, body string }{
		{"GET", "/v1/models", key.Secret, ""},
		{"POST", "/v1/chat/completions", key.Secret, chat},
		{"POST", "/v1/chat/completions", key.Secret, "{"},
		{"POST", "/v1/chat/completions?api_key=" + key.Secret, key.Secret, chat},
		{"POST", "/v1/services/report-filing/" + key.Secret, key.Secret, "{}"},
		{"GET", "/v1/batches/" + key.Secret, key.Secret, ""},
		{"POST", "/v1/chat/completions", operatorSecret, chat},
		{"GET", "/operator/v1/fleet", operatorSecret, ""},
	}
	for _, c := range calls {
		i.call(i.settings.Listen.Callers, c.method, c.path, c.secret, c.body)
	}
	// Metrics tell how much each of the others asks; they are for operators.
	require.NotEqual(t, http.StatusOK, i.call(i.settings.Listen.Callers, "GET", "/debug/vars", "", ""))
	operators := i.settings.Listen.Operators
	require.Equal(t, http.StatusUnauthorized, i.call(operators, "GET", "/operator/v1/"+key.Secret+"?key="+key.Secret, key.Secret, ""))
	// An operator takes the secret for the id of the key.
	mistaken := "/operator/v1/keys/" + key.Secret + "/withdraw"
	require.Equal(t, http.StatusUnauthorized, i.call(operators, "POST", mistaken, key.Secret, ""))
	require.Equal(t, http.StatusBadRequest, i.call(operators, "POST", mistaken, operatorSecret, ""))
	require.Equal(t, http.StatusNotFound, i.call(operators, "POST", "/operator/v1/"+key.Secret, operatorSecret, ""))
	shown := i.ctl("config", "show", "-o", "json") + i.ctl("key", "list") + i.ctl("config", "history") + i.ctl("status")
	i.ctl("key", "withdraw", key.ID)
	require.Equal(t, http.StatusUnauthorized, i.call(i.settings.Listen.Callers, "GET", "/v1/models", key.Secret, ""))

	places := map[string]string{
		"log events": i.logs.String(), "expvar": i.expvar(), "platform's log": i.stored(),
		"operators' views": shown,
	}
	for place, text := range places {
		require.NotContains(t, text, key.Secret, place)
		require.NotContains(t, text, operatorSecret, place)
	}
	// The places were looked at for real: each holds what it should.
	hash := sha256.Sum256([]byte(key.Secret))
	require.Contains(t, places["platform's log"], hex.EncodeToString(hash[:]))
	require.Contains(t, places["log events"], "event=operator_refused")
	require.Contains(t, places["expvar"], "journal")
	require.Contains(t, places["operators' views"], key.ID)
}
