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

// storedRecords returns the contents of the platform's log.
func (i *instance) storedRecords() string {
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
	response, err := http.Get("http://" + i.settings.Listen.Operators + "/debug/vars")
	require.NoError(i.t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(i.t, err)
	return string(data)
}

// Guards against the secret of a caller or an operator in a log file, the metrics or the
// platform's log. Anyone who reads it there could act for that organisation or change the
// fleet. The test uses the secrets in valid and invalid requests, and none may be written
// to any of these places.
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
		i.callStatus(i.settings.Listen.Callers, c.method, c.path, c.secret, c.body)
	}
	// Metrics show how many requests each organisation sends, so they are for operators only.
	require.NotEqual(t, http.StatusOK, i.callStatus(i.settings.Listen.Callers, "GET", "/debug/vars", "", ""))
	operators := i.settings.Listen.Operators
	require.Equal(t, http.StatusUnauthorized, i.callStatus(operators, "GET", "/operator/v1/"+key.Secret+"?key="+key.Secret, key.Secret, ""))
	// An operator uses the secret in place of the id of the key.
	withdrawPath := "/operator/v1/keys/" + key.Secret + "/withdraw"
	require.Equal(t, http.StatusUnauthorized, i.callStatus(operators, "POST", withdrawPath, key.Secret, ""))
	require.Equal(t, http.StatusBadRequest, i.callStatus(operators, "POST", withdrawPath, operatorSecret, ""))
	require.Equal(t, http.StatusNotFound, i.callStatus(operators, "POST", "/operator/v1/"+key.Secret, operatorSecret, ""))
	shown := i.ctl("config", "show", "-o", "json") + i.ctl("key", "list") + i.ctl("config", "history") + i.ctl("status")
	i.ctl("key", "withdraw", key.ID)
	require.Equal(t, http.StatusUnauthorized, i.callStatus(i.settings.Listen.Callers, "GET", "/v1/models", key.Secret, ""))

	places := map[string]string{
		"log events": i.logs.String(), "expvar": i.expvar(), "platform's log": i.storedRecords(),
		"operators' views": shown,
	}
	for place, text := range places {
		require.NotContains(t, text, key.Secret, place)
		require.NotContains(t, text, operatorSecret, place)
	}
	// Each place must contain its expected content, or the checks above would prove nothing.
	hash := sha256.Sum256([]byte(key.Secret))
	require.Contains(t, places["platform's log"], hex.EncodeToString(hash[:]))
	require.Contains(t, places["log events"], "event=operator_refused")
	require.Contains(t, places["expvar"], "journal")
	require.Contains(t, places["operators' views"], key.ID)
}
