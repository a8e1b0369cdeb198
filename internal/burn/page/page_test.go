package page

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/burn"
	"merlintiller/internal/protocol"
)

func TestPageIsSelfContained(t *testing.T) {
	report := burn.Report{
		Unreached: []protocol.InstanceID{"cut-off-1"},
		Lines: []burn.Line{{
			Series: burn.Series{Organisation: "<script>ana", Service: "lm"}, Signal: "first_token", Objective: 0.95,
			Windows: []burn.WindowLine{{Window: "5m", Good: 9, Bad: 1, Burn: 2}, {Window: "1h", Good: 9, Bad: 1, Burn: 2}},
			Latency: &burn.Quantiles{P50: 1, P95: 2, P99: 3}, Alarm: burn.AlarmFast,
		}},
	}
	var out bytes.Buffer
	require.NoError(t, Write(&out, report))
	text := out.String()
	require.Contains(t, text, "cut-off-1")
	require.Equal(t, 2, bytes.Count(out.Bytes(), []byte("<svg")))
	require.NotContains(t, text, "<script")
	require.NotContains(t, text, "src=")
	require.NotContains(t, text, "href=")
	require.NoError(t, Write(&out, burn.Report{}))
}
