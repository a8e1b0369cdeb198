package daemon

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// logged reports whether the instance has logged one of several texts.
func (i *instance) logged(texts ...string) bool {
	for _, text := range texts {
		if strings.Contains(i.logs.String(), text) {
			return true
		}
	}
	return false
}

// Guards against an operator's call that the stop of the instance interrupts: the operator
// can't tell whether the change was made.
func TestGracefulStopAnswersOperatorsCall(t *testing.T) {
	const body = `{"reason":"lost"}`
	i := startInstance(t, startPlatform(t), nil)
	conn, err := net.Dial("tcp", i.settings.Listen.Operators)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /operator/v1/keys/k1/withdraw HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		operatorSecret, len(body), body[:5])
	require.NoError(t, err)
	// The connection of the first call is accepted before that of the second one.
	require.Equal(t, http.StatusOK, i.callStatus(i.settings.Listen.Operators, "GET", "/debug/vars", "", ""))
	i.daemon.operators.requestDrain()
	stopping := func() bool { return i.logged("server=operators", "event=stopped") }
	require.Eventually(t, stopping, time.Minute, time.Millisecond)
	_, _ = conn.Write([]byte(body[5:]))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NotZero(t, response.StatusCode)
	_ = response.Body.Close()
}
