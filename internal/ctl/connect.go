package ctl

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/netip"
	"os"
	"strings"
)

// basesOf gives each instance's address with its scheme: plaintext on
// loopback without certificates, TLS elsewhere.
func basesOf(options Options) ([]string, error) {
	var bases []string
	for _, address := range options.Instance {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, fail(ExitBadInput, "give an IP number with a port, such as 10.0.0.1:8003", "instance %q is no address", address)
		}
		scheme := "https://"
		if options.Plaintext || parsed.Addr().IsLoopback() && options.CA == "" {
			scheme = "http://"
		}
		bases = append(bases, scheme+address)
	}
	return bases, nil
}

func newTransport(options Options) (*http.Transport, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if options.CA != "" {
		pem, err := os.ReadFile(options.CA)
		if err != nil {
			return nil, fail(ExitBadInput, "", "authorities: %v", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fail(ExitBadInput, "", "%s holds no certificate", options.CA)
		}
	}
	if options.Cert != "" || options.CertKey != "" {
		pair, err := tls.LoadX509KeyPair(options.Cert, options.CertKey)
		if err != nil {
			return nil, fail(ExitBadInput, "give --cert and --cert-key together", "certificate: %v", err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return &http.Transport{TLSClientConfig: config}, nil
}

// lines joins the lines of a long help text.
func lines(text ...string) string { return strings.Join(text, "\n") }
