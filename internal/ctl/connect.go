package ctl

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"

	"merlintiller/internal/transport/httpresponse"
)

// baseURLsOf returns the address of each instance with its scheme: http for --plaintext
// and for loopback addresses without --ca, https otherwise.
func baseURLsOf(options Options) ([]string, error) {
	var urls []string
	for _, address := range options.Instance {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, fail(ExitBadInput, "give an IP address with a port, such as 10.0.0.1:8003", "instance %q is not an address", address)
		}
		scheme := "https://"
		if options.Plaintext || parsed.Addr().IsLoopback() && options.CA == "" {
			scheme = "http://"
		}
		urls = append(urls, scheme+address)
	}
	return urls, nil
}

func newTransport(options Options) (http.RoundTripper, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if options.CA != "" {
		pem, err := os.ReadFile(options.CA)
		if err != nil {
			return nil, fail(ExitBadInput, "", "reading the certificate authorities: %v", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fail(ExitBadInput, "", "%s contains no certificate", options.CA)
		}
	}
	if options.Cert != "" || options.CertKey != "" {
		pair, err := tls.LoadX509KeyPair(options.Cert, options.CertKey)
		if err != nil {
			return nil, fail(ExitBadInput, "give --cert and --cert-key together", "reading the certificate: %v", err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	var dialer net.Dialer
	transport := &http.Transport{DialContext: httpresponse.Dialer(dialer.DialContext), TLSClientConfig: config}
	return httpresponse.Transport{Transport: transport}, nil
}

// joinLines joins lines of text, such as those of a long help text.
func joinLines(text ...string) string { return strings.Join(text, "\n") }
