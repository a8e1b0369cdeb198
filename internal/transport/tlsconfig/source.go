// Package tlsconfig builds the TLS configurations of a tillerd process and reloads
// their certificates when the files change.
//
// A connection keeps the certificate of its handshake, so a rotation interrupts no
// call. The next handshake uses the new certificate.
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

// expiryNotice is the remaining validity below which a warning about a certificate is
// logged. A week allows an operator to act on a working day.
const expiryNotice = 7 * 24 * time.Hour

// expiresIn holds the seconds until each certificate expires.
var expiresIn = expvar.NewMap("tls.expires_in_s")

// Files holds the paths of the PEM files of one listener. CA is empty if the peer does
// not present a certificate.
type Files struct {
	Cert, Key, CA string
}

// credentials holds the contents of the files when they were last loaded successfully.
type credentials struct {
	pair tls.Certificate
	// authorities are the certificate authorities for the peer's certificate, nil
	// without a CA file.
	authorities *x509.CertPool
	// pem holds the contents of the files, to detect changes.
	pem [][]byte
}

// Source holds the certificate of one listener. It is a suture service that polls the
// files for changes. A nil Source means plaintext.
type Source struct {
	name     string
	files    Files
	interval time.Duration
	logger   log.Logger
	current  atomic.Pointer[credentials]
}

// Open loads the files. The name appears in log events, in metrics and in errors.
func Open(name string, files Files, interval time.Duration, logger log.Logger) (*Source, error) {
	s := &Source{name: name, files: files, interval: interval, logger: log.With(logger, "listener", name)}
	loaded, err := load(files)
	if err != nil {
		return nil, trace.Wrap(err, "certificate of %s", name)
	}
	s.current.Store(loaded)
	s.checkExpiry(time.Now())
	return s, nil
}

// String names the service for the supervisor.
func (s *Source) String() string { return "certificate-" + s.name }

// Serve polls the files for changes at the interval given to Open until ctx ends.
func (s *Source) Serve(ctx context.Context) error {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			s.reload()
			s.checkExpiry(now)
		}
	}
}

// reload loads the files if they have changed. While a rotation is only half written, the
// certificate and the key do not match, and using them would make every handshake fail.
// The previous ones stay in use then, and the next poll tries again.
func (s *Source) reload() {
	loaded, err := load(s.files)
	if err != nil {
		_ = level.Warn(s.logger).Log("event", "certificate_not_reloaded", "err", err)
		return
	}
	if equalPEM(loaded.pem, s.current.Load().pem) {
		return
	}
	s.current.Store(loaded)
	_ = level.Info(s.logger).Log("event", "certificate_reloaded", "not_after", loaded.pair.Leaf.NotAfter.UTC().Format(time.RFC3339))
}

func (s *Source) checkExpiry(now time.Time) {
	remaining := s.current.Load().pair.Leaf.NotAfter.Sub(now)
	value := new(expvar.Int)
	value.Set(int64(remaining / time.Second))
	expiresIn.Set(s.name, value)
	if remaining < expiryNotice {
		_ = level.Warn(s.logger).Log("event", "certificate_expiring", "left", remaining.Round(time.Second))
	}
}

func load(files Files) (*credentials, error) {
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
	loaded := &credentials{pair: pair, pem: [][]byte{cert, key}}
	if files.CA == "" {
		return loaded, nil
	}
	ca, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	loaded.authorities = x509.NewCertPool()
	if !loaded.authorities.AppendCertsFromPEM(ca) {
		return nil, trace.Wrap(errors.New("CA file contains no certificate"))
	}
	loaded.pem = append(loaded.pem, ca)
	return loaded, nil
}

func equalPEM(a, b [][]byte) bool {
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
