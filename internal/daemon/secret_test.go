package daemon

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/ctl"
	"merlintiller/internal/harness"
	"merlintiller/internal/platform"
	"merlintiller/internal/protocol"
	"merlintiller/internal/settings"
	"merlintiller/internal/standin/memlog"
	"merlintiller/internal/standin/platformsrv"
	"merlintiller/internal/transport/platformhttp"
)

const operatorSecret = "operators-own-secret-4711"

// syncBuffer keeps what many goroutines log.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// instance is a whole daemon beside a stand-in of the platform.
type instance struct {
	t        *testing.T
	daemon   *Daemon
	settings *settings.Settings
	logs     *syncBuffer
	platform *platformhttp.Client
}

func startInstance(t *testing.T) *instance {
	t.Helper()
	server := httptest.NewServer(platformsrv.New(platformsrv.Options{Log: memlog.Options{}, WeightsPerSecond: 100}).Handler("all"))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	listen, err := harness.FreeAddresses(3)
	require.NoError(t, err)
	hash := sha256.Sum256([]byte(operatorSecret))
	s := settings.Default()
	s.Instance, s.Domain = "sea-1", "pnw-sea"
	s.Listen = settings.Listen{Callers: listen[0], Peers: listen[1], Operators: listen[2]}
	s.Platform = settings.Platform{Log: address, List: address, Weights: address}
	s.OperatorKeys = []settings.OperatorKey{{ID: "ana", SHA256: hex.EncodeToString(hash[:])}}
	s.Log.Level = settings.LevelDebug
	s.Timings.DrainNotice = time.Millisecond
	i := &instance{t: t, settings: s, logs: &syncBuffer{}, platform: platformhttp.New(address)}
	i.daemon, err = New(s, NewLogger(i.logs, s.Log))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = i.daemon.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	i.awaitSession()
	return i
}

func (i *instance) awaitSession() {
	j := i.daemon.agreement.journal
	<-j.Loaded()
	for {
		changed := j.Changed()
		if j.Session() != 0 && j.MayHold() {
			return
		}
		<-changed
	}
}

func (i *instance) ctl(args ...string) string {
	i.t.Helper()
	var out, errs bytes.Buffer
	args = append(args, "--operator-secret", operatorSecret, "--instance", i.settings.Listen.Operators)
	code := ctl.Run(ctl.Process{Context: i.t.Context(), Stdout: &out, Stderr: &errs}, args)
	require.Equal(i.t, ctl.ExitOK, code, errs.String())
	return out.String()
}

// call sends a request and gives the status of its answer.
func (i *instance) call(address, method, path, secret, body string) int {
	i.t.Helper()
	request, err := http.NewRequestWithContext(i.t.Context(), method, "http://"+address+path, strings.NewReader(body))
	require.NoError(i.t, err)
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(request)
	require.NoError(i.t, err)
	_ = answer.Body.Close()
	return answer.StatusCode
}

// stored is all that stands in the platform's log.
func (i *instance) stored() string {
	i.t.Helper()
	var all strings.Builder
	for _, stream := range []string{protocol.ControlStream, protocol.DataStream, protocol.SnapshotStream} {
		from := protocol.Offset(0)
		for {
			var page platform.Page
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
	i := startInstance(t)
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
