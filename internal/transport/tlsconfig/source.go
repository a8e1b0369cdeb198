// Package tlsconfig gives the TLS configurations of a tillerd process, whose
// certificates are read again when their files change.
//
// A connection keeps the certificate that it began with, so a rotation cuts no
// call. The next handshake uses the new one.
package tlsconfig

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"expvar"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"
)

// expiryNotice is how long before its end a certificate is warned about: a
// week lets an operator act on a working day.
const expiryNotice = 7 * 24 * time.Hour

// expiresIn holds the seconds until each certificate ends.
var expiresIn = expvar.NewMap("tls.expires_in_s")

// Files names the PEM files of one listener. CA is empty where the other side
// shows no certificate.
type Files struct {
	Cert, Key, CA string
}

// material is what the files held when they were last whole.
type material struct {
	pair  tls.Certificate
	roots *x509.CertPool
	raw   [][]byte
}

// Source is the certificate of one listener. It is a suture service that looks
// for changed files. A nil Source stands for plaintext.
type Source struct {
	name    string
	files   Files
	every   time.Duration
	logger  log.Logger
	current atomic.Pointer[material]
}

// Open reads the files. The name stands in log events.
func Open(name string, files Files, every time.Duration, logger log.Logger) (*Source, error) {
	s := &Source{name: name, files: files, every: every, logger: log.With(logger, "listener", name)}
	loaded, err := load(files)
	if err != nil {
		return nil, trace.Wrap(err, "certificate of %s", name)
	}
	s.current.Store(loaded)
	s.noteExpiry(time.Now())
	return s, nil
}

// String names the service for the supervisor.
func (s *Source) String() string { return "certificate-" + s.name }

// Serve looks for changed files until ctx ends.
func (s *Source) Serve(ctx context.Context) error {
	ticker := time.NewTicker(s.every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			s.reload()
			s.noteExpiry(now)
		}
	}
}

// reload takes over changed files. While a rotation is half written, the
// certificate and its key do not belong together; taking them would refuse
// every caller. The old ones stay in use and the next look tries again.
func (s *Source) reload() {
	loaded, err := load(s.files)
	if err != nil {
		_ = level.Warn(s.logger).Log("event", "certificate_not_reloaded", "err", err)
		return
	}
	if same(loaded.raw, s.current.Load().raw) {
		return
	}
	s.current.Store(loaded)
	_ = level.Info(s.logger).Log("event", "certificate_reloaded", "not_after", loaded.pair.Leaf.NotAfter.UTC().Format(time.RFC3339))
}

func (s *Source) noteExpiry(now time.Time) {
	left := s.current.Load().pair.Leaf.NotAfter.Sub(now)
	value := new(expvar.Int)
	value.Set(int64(left / time.Second))
	expiresIn.Set(s.name, value)
	if left < expiryNotice {
		_ = level.Warn(s.logger).Log("event", "certificate_expiring", "left", left.Round(time.Second))
	}
}

func load(files Files) (*material, error) {
	cert, err := os.ReadFile(files.Cert)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	key, err := os.ReadFile(files.Key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	loaded := &material{pair: pair, raw: [][]byte{cert, key}}
	if files.CA == "" {
		return loaded, nil
	}
	authorities, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	loaded.roots = x509.NewCertPool()
	if !loaded.roots.AppendCertsFromPEM(authorities) {
		return nil, trace.Wrap(errors.New("the file of authorities holds no certificate"))
	}
	loaded.raw = append(loaded.raw, authorities)
	return loaded, nil
}

func same(a, b [][]byte) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}
