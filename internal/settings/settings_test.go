package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/strictyaml"
)

const zeroHash = "0000000000000000000000000000000000000000000000000000000000000000"

const validSettings = `instance: sea-1
domain: pnw-sea
listen:
  callers: 127.0.0.1:8001
  peers: 127.0.0.1:8002
  operators: 127.0.0.1:8003
platform:
  log: 127.0.0.1:9000
  list: 127.0.0.1:9000
  weights: 127.0.0.1:9000
operator_keys:
  - id: ana
    sha256: "` + zeroHash + `"
`

func TestValidFileKeepsDefaults(t *testing.T) {
	s, err := Parse("sea-1.yaml", []byte(validSettings+"timings: {renew: 1s}\n"))
	require.NoError(t, err)
	require.EqualValues(t, "sea-1", s.Instance)
	require.Equal(t, time.Second, s.Timings.Renew)
	require.Equal(t, Default().Timings.Hold, s.Timings.Hold)
}

// An operator mistypes a field or a unit. If the mistake were ignored, the instance
// would run with an unintended default, and the cause would be hard to find days
// later. The start fails instead and reports file, line and field.
func TestMistakesNameFileLineAndField(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"unknown field":     {"domain: pnw-sea", "domian: pnw-sea", "s.yaml:2: domian: unknown field; did you mean domain?"},
		"missing domain":    {"domain: pnw-sea\n", "", "s.yaml:1: domain: is missing"},
		"missing address":   {"  peers: 127.0.0.1:8002\n", "", "s.yaml:3: listen.peers: is missing"},
		"missing platform":  {"  log: 127.0.0.1:9000\n", "", "s.yaml:7: platform.log: is missing"},
		"name for address":  {"peers: 127.0.0.1:8002", "peers: localhost:8002", "s.yaml:5: listen.peers: \"localhost:8002\" must be an IP address"},
		"unspecified":       {"peers: 127.0.0.1:8002", "peers: 0.0.0.0:8002", "s.yaml:5: listen.peers: \"0.0.0.0:8002\" is an unspecified address"},
		"same address":      {"peers: 127.0.0.1:8002", "peers: 127.0.0.1:8001", "s.yaml:5: listen.peers: 127.0.0.1:8001 is the address of listen.callers"},
		"plaintext":         {"peers: 127.0.0.1:8002", "peers: 10.0.0.9:8002", "tls.peers: is missing, and 10.0.0.9:8002 is not a loopback address"},
		"duplicate":         {"domain: pnw-sea", "domain: pnw-sea\ndomain: pnw-pdx", "s.yaml:3: domain: is a duplicate"},
		"bad unit":          {"platform:", "timings:\n  renew: 2 parsecs\nplatform:", "s.yaml:8: timings.renew: \"2 parsecs\" must be a duration with a unit"},
		"no unit":           {"platform:", "timings: {renew: 2}\nplatform:", "s.yaml:7: timings.renew: \"2\" must be a duration with a unit"},
		"negative":          {"platform:", "timings: {renew: -2s}\nplatform:", "s.yaml:7: timings.renew: must be above 0"},
		"text for number":   {"platform:", "limits: {body_bytes: 4MB}\nplatform:", "s.yaml:7: limits.body_bytes: \"4MB\" must be an integer"},
		"no value":          {"platform:", "limits: {body_bytes: }\nplatform:", "s.yaml:7: limits.body_bytes: has no value"},
		"line too long":     {"platform:", "batch: {line_bytes: 600000}\nplatform:", "s.yaml:7: batch.line_bytes: 600000 must be at most 524288"},
		"share above one":   {"platform:", "calls: {retry_share: 1.5}\nplatform:", "s.yaml:7: calls.retry_share: 1.5 must be at most 1"},
		"not a number":      {"platform:", "limiter: {clock_drift: .nan}\nplatform:", "s.yaml:7: limiter.clock_drift: must be a number above 0"},
		"infinite":          {"platform:", "admission: {overcommit: .inf}\nplatform:", "s.yaml:7: admission.overcommit: must be a number above 0"},
		"seed by name":      {"platform:", "seeds: [10.0.0.1:1, peer]\nplatform:", "s.yaml:7: seeds[1]: \"peer\" must be an IP address"},
		"late promises":     {"platform:", "limiter: {renewal_late: 6s}\nplatform:", "s.yaml:7: limiter.renewal_late: 6s must be below timings.hold"},
		"key to targets":    {"platform:", "calls: {allow_headers: [X-Trace, authorization]}\nplatform:", "s.yaml:7: calls.allow_headers[1]: \"authorization\" may hold the caller's key"},
		"no header":         {"platform:", "calls: {allow_headers: [\"a b\"]}\nplatform:", "s.yaml:7: calls.allow_headers[0]: \"a b\" is not a valid header name"},
		"log wait":          {"platform:", "timings: {log_wait: 3s}\nplatform:", "timings.log_down_after: 3s must be longer than"},
		"expire below hold": {"platform:", "timings:\n  expire: 6s\nplatform:", "s.yaml:8: timings.expire: 6s must be larger than timings.hold"},
		"renew too slow":    {"platform:", "timings: {renew: 4s}\nplatform:", "timings.renew: 4s must be at most half"},
		"half of TLS":       {"platform:", "tls:\n  peers: {cert: a.pem, key: b.pem}\nplatform:", "s.yaml:8: tls.peers.ca: is missing"},
		"log level":         {"platform:", "log: {level: loud}\nplatform:", "s.yaml:7: log.level: \"loud\" must be debug"},
		"secret for hash":   {zeroHash, "hunter2", "s.yaml:13: operator_keys[0].sha256: must be the 64"},
		"two same keys":     {"operator_keys:\n", "operator_keys:\n  - {id: ana, sha256: \"" + zeroHash + "\"}\n", "operator_keys[1].id: \"ana\" is a duplicate"},
		"list for field":    {"domain: pnw-sea", "domain: [pnw-sea]", "s.yaml:2: domain: must be a string"},
		"alias":             {"domain: pnw-sea", "domain: &a pnw-sea", "s.yaml:2: domain: anchors and aliases are not allowed"},
		"two documents":     {"operator_keys:", "---\noperator_keys:", "contains more than one document"},
		"not YAML":          {"domain: pnw-sea", "domain: [pnw-sea", "s.yaml: "},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validSettings, c.old, c.new, 1)
			require.NotEqual(t, validSettings, text)
			_, err := Parse("s.yaml", []byte(text))
			require.ErrorContains(t, err, c.want)
			require.NotContains(t, err.Error(), "hunter2")
		})
	}
}

func TestAllMistakesAreListedAtOnce(t *testing.T) {
	_, err := Parse("s.yaml", []byte("domain: pnw-sea\n"))
	var problems strictyaml.Problems
	require.True(t, errors.As(err, &problems))
	require.GreaterOrEqual(t, len(problems), 7)
}

func TestMissingFileIsNamed(t *testing.T) {
	_, err := Load(t.TempDir() + "/absent.yaml")
	require.ErrorContains(t, err, "absent.yaml")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("operator_keys: [1, {id: x}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("s.yaml", data)
		if err != nil {
			var problems strictyaml.Problems
			require.True(t, errors.As(err, &problems))
			require.NotEmpty(t, problems)
			return
		}
		require.NotEmpty(t, s.Instance)
		require.NotEmpty(t, s.Platform.Log)
	})
}
