package httpresponse

import (
	"bufio"
	"errors"
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
func TestInvalidStatusIsMalformed(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+99", "-00", "101"} {
		err := Check(readResponse(t, "HTTP/1.1 "+status+" Some Reason"))
		require.True(t, IsMalformed(err), status)
		require.ErrorContains(t, err, `status: "`+status)
	}
	for _, status := range []string{"100", "200", "204", "299", "404", "503", "599", "600", "999"} {
		require.NoError(t, Check(readResponse(t, "HTTP/1.1 "+status+" Some Reason")), status)
	}
}

// Guards against a response with a field name that is no token that counts as sound, and the other way round.
func TestFieldNameThatIsNoTokenIsMalformed(t *testing.T) {
	for _, name := range []string{"X Detail", "X-Detail ", "Content-Length ", "Transfer-Encoding  "} {
		err := Check(readResponse(t, "HTTP/1.1 200 OK", "X-First: 1", name+": 1", "X-Last: 1"))
		require.True(t, IsMalformed(err), name)
		require.ErrorContains(t, err, `field_name: "`+name+`"`)
	}
	for _, name := range []string{"x", "!", "42", "x!#$%&'*+-.^_`|~09azAZ", "content-length", "-", "X_Y"} {
		require.NoError(t, Check(readResponse(t, "HTTP/1.1 200 OK", name+": 1")), name)
	}
	for c := range 256 {
		// Letters and digits, and the symbols of RFC 9110, section 5.6.2.
		valid := strings.ContainsRune("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ", rune(c))
		response := &http.Response{ProtoMajor: 1, StatusCode: http.StatusOK, Header: http.Header{"X" + string([]byte{byte(c)}): {"1"}}}
		require.Equal(t, !valid, IsMalformed(Check(response)), "%q", byte(c))
	}
	require.True(t, IsMalformed(Check(&http.Response{ProtoMajor: 1, StatusCode: http.StatusOK, Header: http.Header{"": {"1"}}})))
}

// Guards against a response of another protocol that counts as sound, and against one of a later minor version that does not
// (RFC 9110, section 6.2).
func TestOtherMajorVersionIsMalformed(t *testing.T) {
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/3.0"} {
		err := Check(readResponse(t, version+" 200 OK"))
		require.True(t, IsMalformed(err), version)
		require.ErrorContains(t, err, `version: "`+version+`"`)
	}
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1", "HTTP/1.2"} {
		require.NoError(t, Check(readResponse(t, version+" 200 OK")), version)
	}
}

// Guards against a log line that a server fills with what it likes: what an error quotes is escaped and short.
func TestErrorsQuoteLittleAndEscaped(t *testing.T) {
	const most = 512
	long := strings.Repeat("\x01 \xff\n", 8<<10)
	for _, err := range []error{
		Check(&http.Response{ProtoMajor: 1, StatusCode: 0, Status: long}),
		Check(&http.Response{ProtoMajor: 1, StatusCode: http.StatusOK, Header: http.Header{long: {"1"}}}),
	} {
		require.Less(t, len(err.Error()), most)
		require.NotContains(t, err.Error(), "\n")
		require.NotContains(t, err.Error(), "\x01")
	}
	cause := errors.New(strings.Repeat("x", 32<<10))
	require.Less(t, len(Unreadable(cause).Error()), most)
	require.Less(t, len(BoundText(cause).Error()), most)
	require.ErrorIs(t, BoundText(cause), cause)
}
