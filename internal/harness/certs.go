package harness

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
)

// certificateLifetime is longer than any run, but limits how long a leaked or
// leftover certificate can be used.
const certificateLifetime = 30 * 24 * time.Hour

// Authority signs certificates for a fleet on loopback.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// CertFiles holds the paths of the PEM files of a certificate, its key and its CA.
type CertFiles struct {
	Cert, Key, CA string
}

// NewAuthority returns a new authority whose key is held in memory only.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "fleet on loopback"},
		NotBefore:             time.Unix(0, 0),
		NotAfter:              time.Now().Add(certificateLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Authority{cert: cert, key: key, pem: pemBlock("CERTIFICATE", der)}, nil
}

// Issue writes a certificate for 127.0.0.1, its key and the authority's certificate
// to a folder. It overwrites existing files, as a rotation does.
func (a *Authority) Issue(dir string, serial int64) (CertFiles, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return CertFiles{}, trace.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "instance on loopback"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Now().Add(certificateLifetime),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return CertFiles{}, trace.Wrap(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return CertFiles{}, trace.Wrap(err)
	}
	files := CertFiles{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	contents := map[string][]byte{
		files.Cert: pemBlock("CERTIFICATE", der),
		files.Key:  pemBlock("EC PRIVATE KEY", keyDER),
		files.CA:   a.pem,
	}
	for path, content := range contents {
		if err := os.WriteFile(path, content, 0o600); err != nil {
			return CertFiles{}, trace.ConvertSystemError(err)
		}
	}
	return files, nil
}

func pemBlock(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
