package daemon

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/ctl"
	"merlintiller/internal/harness"
	"merlintiller/internal/settings"
	"merlintiller/internal/standin/memlog"
	"merlintiller/internal/standin/platformsrv"
	"merlintiller/internal/transport/platformhttp"
)

const operatorSecret = "operators-own-secret-4711"

// syncBuffer is a buffer to which several goroutines may log.
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

// instance is a complete daemon that uses a stand-in of the platform.
type instance struct {
	t        *testing.T
	daemon   *Daemon
	settings *settings.Settings
	logs     *syncBuffer
	platform *platformhttp.Client
}

// startPlatform starts a stand-in of the platform and returns its address.
func startPlatform(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(platformsrv.New(platformsrv.Options{Log: memlog.Options{}, WeightsPerSecond: 100}).Handler("all"))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// startInstance starts an instance in the same process. configure may change
// its settings.
func startInstance(t *testing.T, address string, configure func(*settings.Settings)) *instance {
	t.Helper()
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
	if configure != nil {
		configure(s)
	}
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
	j := i.daemon.cluster.journal
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

// callStatus sends a request and returns the status of the response.
func (i *instance) callStatus(address, method, path, secret, body string) int {
	i.t.Helper()
	request, err := http.NewRequestWithContext(i.t.Context(), method, "http://"+address+path, strings.NewReader(body))
	require.NoError(i.t, err)
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	require.NoError(i.t, err)
	_ = response.Body.Close()
	return response.StatusCode
}
