package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"time"
)

var errNoCertificate = errors.New("peer presented no certificate")

// Server returns the configuration of a listener, nil for plaintext. If the source has
// certificate authorities, a client without a certificate signed by one of them is
// rejected in the handshake, before any byte of a call is read.
func (s *Source) Server() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.currentServer(), nil
		},
	}
}

func (s *Source) currentServer() *tls.Config {
	current := s.current.Load()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.pair},
		NextProtos:   []string{"http/1.1"},
	}
	if current.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = current.authorities
		// A resumed session would skip verification against certificate authorities
		// that have changed since the session began.
		config.SessionTicketsDisabled = true
		config.NextProtos = nil
	}
	return config
}

// Client returns the configuration for calls to other instances, nil for plaintext.
//
// Instances and their addresses change, so the client verifies only that the server's
// certificate is signed by the authority of the fleet, not which address the server
// has. The authority of peers must therefore sign certificates of instances only.
func (s *Source) Client() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().pair, nil
		},
		// The verification of crypto/tls requires a host name and a fixed pool of
		// certificate authorities. VerifyConnection verifies the chain against the
		// pool that is current at this handshake.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyServer,
	}
}

func (s *Source) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errNoCertificate
	}
	options := x509.VerifyOptions{
		Roots:         s.current.Load().authorities,
		Intermediates: x509.NewCertPool(),
		CurrentTime:   time.Now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	if options.Roots == nil {
		// A nil pool would select the certificate authorities of the operating system.
		options.Roots = x509.NewCertPool()
	}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}
