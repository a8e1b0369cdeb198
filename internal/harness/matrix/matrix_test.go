package matrix

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const events = `{"Action":"output","Package":"m/p","Test":"TestMatrixA/claim/kill","Output":"matrix step=claim fault=kill result=held\n"}
{"Action":"output","Package":"m/p","Test":"TestMatrixA/claim/crossed","Output":"matrix step=claim fault=crossed result=not-applicable reason=\"no answer\"\n"}
{"Action":"output","Package":"m/p","Test":"TestMatrixA/renew/late","Output":"matrix step=renew fault=late result=held\n"}
{"Action":"fail","Package":"m/p","Test":"TestMatrixA/renew/late"}
{"Action":"fail","Package":"m/p","Test":"TestMatrixA/renew/pause"}
{"Action":"fail","Package":"m/p","Test":"TestMatrixA"}
{"Action":"fail","Package":"m/p","Test":""}
{"Action":"fail","Package":"m/q","Test":""}
`

// A test fails after or before it has logged its cell, or its package does not
// build. Each must be reported as red or failed. If the matrix left such a cell
// out, the matrix would show a defect as passed.
func TestFailedCellsAreRed(t *testing.T) {
	report, err := Read(strings.NewReader(events))
	require.NoError(t, err)
	require.Equal(t, 1, report.Count(Held))
	require.Equal(t, 2, report.Count(Red))
	require.Equal(t, 1, report.Count(NotApplicable))
	require.Equal(t, []string{"m/q "}, report.FailedTests)
	var out strings.Builder
	report.Write(&out)
	require.True(t, strings.HasSuffix(out.String(), "matrix cases=4 held=1 red=2 not-applicable=1\n"))
}
