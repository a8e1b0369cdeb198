package httpresponse

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// readResponse reads a response without a body, with a status line and header lines.
func readResponse(t *testing.T, lines ...string) *http.Response {
	text := strings.Join(lines, "\r\n") + "\r\n\r\n"
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	require.NoError(t, err)
	return response
}

// Guards against a response with an invalid status that counts as sound, and the other way round.
func TestStatusBelow100IsMalformed(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+99", "-00"} {
		err := Check(readResponse(t, "HTTP/1.1 "+status+" Some Reason"))
		require.True(t, IsMalformed(err), status)
		require.ErrorContains(t, err, `status: "`+status)
	}
	for _, status := range []string{"100", "200", "204", "299", "404", "503", "599", "600", "999"} {
		require.NoError(t, Check(readResponse(t, "HTTP/1.1 "+status+" Some Reason")), status)
	}
}

// Guards against a log line that a server fills with what it likes: what an error quotes is escaped and short.
func TestErrorsQuoteLittleAndEscaped(t *testing.T) {
	const most = 512
	long := strings.Repeat("\x01 \xff\n", 8<<10)
	for _, err := range []error{
		Check(&http.Response{StatusCode: 0, Status: long}),
	} {
		require.Less(t, len(err.Error()), most)
		require.NotContains(t, err.Error(), "\n")
		require.NotContains(t, err.Error(), "\x01")
	}
}
