package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"time"
)

var errNoCertificate = errors.New("the other side showed no certificate")

// Server is the configuration of a listener, nil for plaintext. If the source
// has authorities, a client without a certificate of theirs is refused in the
// handshake, before any byte of a call is read.
func (s *Source) Server() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverNow(), nil
		},
	}
}

func (s *Source) serverNow() *tls.Config {
	now := s.current.Load()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{now.pair},
		NextProtos:   []string{"http/1.1"},
	}
	if now.roots != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = now.roots
		// A resumed session would skip the check against authorities that
		// were changed meanwhile.
		config.SessionTicketsDisabled = true
		config.NextProtos = nil
	}
	return config
}

// Client is the configuration for calls to other instances, nil for plaintext.
//
// Instances come and go with their addresses, so a certificate proves that the
// other side is an instance of the fleet, by its authority, and not which
// address it has. The authority of peers must therefore sign instances only.
func (s *Source) Client() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().pair, nil
		},
		// The library's own check wants a host name and a fixed pool of
		// authorities. VerifyConnection checks the chain against the pool
		// that is current at this handshake.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyServer,
	}
}

func (s *Source) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errNoCertificate
	}
	options := x509.VerifyOptions{
		Roots:         s.current.Load().roots,
		Intermediates: x509.NewCertPool(),
		CurrentTime:   time.Now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	if options.Roots == nil {
		// A nil pool would mean the authorities of the operating system.
		options.Roots = x509.NewCertPool()
	}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}
