package tlsconfig

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/harness"
	"merlintiller/internal/settings"
	"merlintiller/internal/transport/peer"
)

// authority is the certificate authority of one test.
type authority struct{ *harness.Authority }

func newAuthority(t *testing.T) authority {
	t.Helper()
	made, err := harness.NewAuthority()
	require.NoError(t, err)
	return authority{made}
}

// issue writes a new certificate, its key and the authority's certificate to dir.
func (a authority) issue(t *testing.T, dir string, serial int64) Files {
	t.Helper()
	files, err := a.Issue(dir, serial)
	require.NoError(t, err)
	return Files(files)
}

func write(t *testing.T, path string, data []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, data, 0o600))
}

func open(t *testing.T, files Files) *Source {
	t.Helper()
	source, err := Open("test", files, time.Second, log.NewNopLogger())
	require.NoError(t, err)
	return source
}

type echo struct{}

// Say returns its argument.
func (echo) Say(args string, reply *string) error {
	*reply = args
	return nil
}

// events is a logger that sends the name of each log event to the test.
type events chan string

func (e events) Log(keyvals ...any) error {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == "event" {
			e <- keyvals[i+1].(string)
		}
	}
	return nil
}

func startPeer(t *testing.T, config *tls.Config, logger log.Logger) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := peer.NewServer(listener, config, logger)
	require.NoError(t, server.Register("Echo", echo{}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}

func say(t *testing.T, config *tls.Config, address string) error {
	t.Helper()
	client := peer.NewClient(config)
	defer client.Close()
	var reply string
	return client.Call(t.Context(), address, "Echo.Say", "hello", &reply)
}

// An outsider connects to the listener for calls between instances. A call would let it
// grant itself tokens or withdraw every key, so the handshake must fail, whether it
// presents no certificate, uses plaintext, or presents a certificate of its own authority.
func TestPeerCallsFromOutsideAreRejected(t *testing.T) {
	fleet := newAuthority(t)
	server := open(t, fleet.issue(t, t.TempDir(), 2))
	member := open(t, fleet.issue(t, t.TempDir(), 3))
	outsider := open(t, newAuthority(t).issue(t, t.TempDir(), 4))
	logged := make(events, 8)
	address := startPeer(t, server.Server(), logged)

	require.NoError(t, say(t, member.Client(), address))
	withoutCert := &tls.Config{InsecureSkipVerify: true}
	require.Error(t, say(t, withoutCert, address))
	require.Error(t, say(t, nil, address))
	forged := outsider.Client()
	forged.VerifyConnection = nil
	require.Error(t, say(t, forged, address))
	for range 3 {
		require.Equal(t, "peer_refused", <-logged)
	}
}

// An instance connects to a port on which an outsider listens. It must not send its
// state there.
func TestInstanceRejectsForeignServer(t *testing.T) {
	member := open(t, newAuthority(t).issue(t, t.TempDir(), 2))
	outsider := open(t, newAuthority(t).issue(t, t.TempDir(), 3))
	config := outsider.Server()
	address := startPeer(t, config, log.NewNopLogger())
	require.ErrorContains(t, say(t, member.Client(), address), "unknown authority")
}

func presentedSerial(t *testing.T, source *Source) int64 {
	t.Helper()
	near, far := net.Pipe()
	go func() { _ = tls.Server(far, source.Server()).Handshake() }()
	client := tls.Client(near, &tls.Config{InsecureSkipVerify: true})
	require.NoError(t, client.Handshake())
	defer near.Close()
	return client.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// A certificate is rotated while connections are open. The open connection keeps working
// and the new certificate is in use for later handshakes, without a restart.
func TestRotationKeepsConnections(t *testing.T) {
	fleet := newAuthority(t)
	dir := t.TempDir()
	files := fleet.issue(t, dir, 10)
	server := open(t, files)
	member := open(t, fleet.issue(t, t.TempDir(), 3))
	address := startPeer(t, server.Server(), log.NewNopLogger())
	client := peer.NewClient(member.Client())
	defer client.Close()
	var reply string
	require.NoError(t, client.Call(t.Context(), address, "Echo.Say", "before", &reply))

	fleet.issue(t, dir, 11)
	server.reload()
	require.NoError(t, client.Call(t.Context(), address, "Echo.Say", "after", &reply))
	require.Equal(t, "after", reply)
	require.Equal(t, int64(11), server.current.Load().pair.Leaf.SerialNumber.Int64())
}

// The tool that rotates certificates has written the new certificate and not yet the new
// key. If this pair were loaded, every handshake would fail. The old pair must stay in
// use until both new files are written.
func TestHalfWrittenRotationKeepsTheOldCertificate(t *testing.T) {
	fleet := newAuthority(t)
	dir := t.TempDir()
	files := fleet.issue(t, dir, 10)
	files.CA = ""
	source := open(t, files)
	next := fleet.issue(t, t.TempDir(), 11)
	cert, err := os.ReadFile(next.Cert)
	require.NoError(t, err)
	write(t, files.Cert, cert)
	source.reload()
	require.Equal(t, int64(10), presentedSerial(t, source))
	key, err := os.ReadFile(next.Key)
	require.NoError(t, err)
	write(t, files.Key, key)
	source.reload()
	require.Equal(t, int64(11), presentedSerial(t, source))
}

func TestServeReloadsChangedFiles(t *testing.T) {
	fleet := newAuthority(t)
	dir := t.TempDir()
	files := fleet.issue(t, dir, 10)
	synctest.Test(t, func(t *testing.T) {
		source := open(t, files)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- source.Serve(ctx) }()
		fleet.issue(t, dir, 11)
		<-time.After(1500 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, int64(11), source.current.Load().pair.Leaf.SerialNumber.Int64())
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
}

func TestOpenAllWarnsOfPlaintextOffLoopback(t *testing.T) {
	var logs bytes.Buffer
	s := settings.Default()
	s.Listen = settings.Listen{Callers: "10.0.0.1:1", Peers: "127.0.0.1:2", Operators: "127.0.0.1:3"}
	set, err := OpenAll(s, log.NewLogfmtLogger(&logs))
	require.NoError(t, err)
	require.Nil(t, set.Callers.Server())
	require.Nil(t, set.Peers.Client())
	require.Empty(t, set.Services())
	require.Equal(t, 1, bytes.Count(logs.Bytes(), []byte("event=plaintext_listener")))
	s.TLS.Callers.Cert = "absent.pem"
	_, err = OpenAll(s, log.NewNopLogger())
	require.ErrorContains(t, err, "certificate of callers")
}
