package edge

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

// timeToFirstByte sends a request and returns the time until the first byte of the
// body. It reads the body to its end.
func timeToFirstByte(b *testing.B, transport *http.Transport, url, body string) time.Duration {
	req, err := http.NewRequest(http.MethodPost, url+testPath, strings.NewReader(body))
	require.NoError(b, err)
	req.Header.Set("Authorization", "Bearer "+testSecret)
	sentAt := time.Now()
	resp, err := transport.RoundTrip(req)
	require.NoError(b, err)
	in := bufio.NewReader(resp.Body)
	_, err = in.ReadByte()
	elapsed := time.Since(sentAt)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, in)
	require.NoError(b, err)
	require.NoError(b, resp.Body.Close())
	return elapsed
}

// BenchmarkAddedLatency reports the difference between the time to the first byte
// through an instance and that of the same call sent directly to a target. Direct
// calls and calls through the instance alternate.
func BenchmarkAddedLatency(b *testing.B) {
	for _, kind := range []struct {
		name   string
		stream bool
	}{{"whole", false}, {"streamed", true}} {
		b.Run(kind.name, func(b *testing.B) {
			s := newSystem(b, systemOptions{})
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			direct := hdrhistogram.New(1, int64(time.Minute), 3)
			through := hdrhistogram.New(1, int64(time.Minute), 3)
			body := chatBody("riser 4, second floor", kind.stream)
			for b.Loop() {
				_ = direct.RecordValue(int64(timeToFirstByte(b, transport, s.servers[0].URL, body)))
				_ = through.RecordValue(int64(timeToFirstByte(b, transport, s.url, body)))
			}
			for _, q := range []float64{50, 99} {
				added := through.ValueAtQuantile(q) - direct.ValueAtQuantile(q)
				unit := map[float64]string{50: "added-p50-µs", 99: "added-p99-µs"}[q]
				b.ReportMetric(float64(added)/1000, unit)
			}
			b.ReportMetric(float64(direct.ValueAtQuantile(50))/1000, "direct-p50-µs")
		})
	}
}
