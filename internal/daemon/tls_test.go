package daemon

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/fleetstatus"
	"merlintiller/internal/ctl"
	"merlintiller/internal/harness"
	"merlintiller/internal/protocol"
	"merlintiller/internal/settings"
)

// tlsFleet holds a certificate authority for instances and another one for operators.
type tlsFleet struct {
	t                *testing.T
	peers, operators *harness.Authority
}

func newTLSFleet(t *testing.T) *tlsFleet {
	t.Helper()
	peers, err := harness.NewAuthority()
	require.NoError(t, err)
	operators, err := harness.NewAuthority()
	require.NoError(t, err)
	return &tlsFleet{t: t, peers: peers, operators: operators}
}

func (f *tlsFleet) issue(authority *harness.Authority) harness.CertFiles {
	f.t.Helper()
	files, err := authority.Issue(f.t.TempDir(), 2)
	require.NoError(f.t, err)
	return files
}

func (f *tlsFleet) configure(id protocol.InstanceID) func(*settings.Settings) {
	return func(s *settings.Settings) {
		peers, operators := f.issue(f.peers), f.issue(f.operators)
		s.Instance = id
		s.TLS.Callers = settings.CertFiles{Cert: operators.Cert, Key: operators.Key}
		s.TLS.Peers = settings.MutualFiles(peers)
		s.TLS.Operators = settings.MutualFiles(operators)
	}
}

// ctl runs the command-line tool with the certificates and returns its exit code and output.
func (f *tlsFleet) ctl(i *instance, files harness.CertFiles, args ...string) (ctl.ExitCode, string) {
	var out, errs bytes.Buffer
	args = append(args, "--operator-secret", operatorSecret, "--instance", i.settings.Listen.Operators, "--ca", files.CA)
	if files.Cert != "" {
		args = append(args, "--cert", files.Cert, "--cert-key", files.Key)
	}
	code := ctl.Run(ctl.Process{Context: f.t.Context(), Stdout: &out, Stderr: &errs}, args)
	return code, out.String()
}

// Two instances run on a shared network. A client without a certificate of the fleet must
// get no access, and an operator with a certificate must see the whole fleet through one
// instance.
func TestFleetWithMutualTLS(t *testing.T) {
	fleet := newTLSFleet(t)
	platform := startPlatform(t)
	one := startInstance(t, platform, fleet.configure("sea-1"))
	startInstance(t, platform, fleet.configure("sea-2"))
	operator := fleet.issue(fleet.operators)

	require.Equal(t, 2, len(awaitStatus(t, fleet, one, operator).Instances))
	withoutCert := harness.CertFiles{CA: operator.CA}
	code, _ := fleet.ctl(one, withoutCert, "config", "show")
	require.NotEqual(t, ctl.ExitOK, code)
	peerCert := fleet.issue(fleet.peers)
	peerCert.CA = operator.CA
	code, _ = fleet.ctl(one, peerCert, "config", "show")
	require.NotEqual(t, ctl.ExitOK, code, "a peer certificate is not valid for operators")

	caCert, err := os.ReadFile(operator.CA)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(caCert))
	caller := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	response, err := caller.Get("https://" + one.settings.Listen.Callers + "/healthz")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	_ = response.Body.Close()
}

// awaitStatus polls the status until it lists both instances, which know each other after
// the first heartbeats.
func awaitStatus(t *testing.T, fleet *tlsFleet, i *instance, operator harness.CertFiles) fleetstatus.Status {
	t.Helper()
	for {
		changed := i.daemon.cluster.journal.Changed()
		_, out := fleet.ctl(i, operator, "status", "-o", "json")
		var status fleetstatus.Status
		require.NoError(t, json.Unmarshal([]byte(out), &status), out)
		if len(status.Instances) == 2 {
			return status
		}
		<-changed
	}
}
