package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/rawanswer"
	"merlintiller/internal/standin/rawserver"
)

// newSocketSystem starts an instance before targets that answer with bytes of the test's choice. The argument of answer is
// the header line with which the client finds the request that an answer belongs to.
func newSocketSystem(t *testing.T, answer func(conn *net.TCPConn, echo string)) *system {
	s := newSystem(t, systemOptions{})
	for n := range s.listing.Targets {
		server, err := rawserver.Start(func(conn *net.TCPConn, request *http.Request) bool {
			answer(conn, "X-Call-Id: "+request.Header.Get("X-Call-Id")+"\r\nContent-Type: application/json\r\n")
			return false
		})
		require.NoError(t, err)
		t.Cleanup(server.Close)
		s.listing.Targets[n].Address = server.Address()
	}
	s.router.ApplyListing(s.listing)
	return s
}

// receiveRaw sends a call and returns the bytes that its caller gets.
func (s *system) receiveRaw(t *testing.T, path, body string) rawanswer.Answer {
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n%s",
		path, testSecret, len(body), body)
	conn := s.dialRaw(t, request)
	defer func() { _ = conn.Close() }()
	answer, err := rawanswer.Read(conn, 5*time.Second)
	require.NoError(t, err)
	return answer
}

// brokenCalls are calls to a model and to a plain service, whose calls run once at most, with the status of an answer that
// was lost.
var brokenCalls = map[string]struct{ path, body, status string }{
	"model":         {testPath, chatBody("q", false), "502 "},
	"plain service": {plainPath, "q", "409 "},
}

// Guards against an answer of a target with a status below 100 that reaches the caller, or ends the handler of the call.
func TestAnswerWithInvalidStatusDoesNotReachTheCaller(t *testing.T) {
	testMalformedAnswersForCallers(t, rawserver.InvalidStatuses)
}

// Guards against an answer of a target with a field name that is no token that reaches the caller, or a promise in it that
// the call did not run.
func TestAnswerWithInvalidFieldNameDoesNotReachTheCaller(t *testing.T) {
	testMalformedAnswersForCallers(t, rawserver.InvalidFieldNames)
}

func testMalformedAnswersForCallers(t *testing.T, answersWith func(echo, body string) map[string]string) {
	for kind, call := range brokenCalls {
		for name := range answersWith("", "") {
			t.Run(kind+"/"+name, func(t *testing.T) {
				t.Parallel()
				s := newSocketSystem(t, func(conn *net.TCPConn, echo string) {
					_, _ = io.WriteString(conn, answersWith(echo, rawserver.Body)[name])
				})
				answer := s.receiveRaw(t, call.path, call.body)
				require.Regexp(t, "^HTTP/1.1 "+call.status, string(answer.Raw))
				require.Contains(t, string(answer.Raw), `"may_have_run"`)
				require.NotContains(t, string(answer.Raw), rawserver.Body)
			})
		}
	}
}

// Guards against a part of an answer that a caller gets as a whole one, since the target reset the connection while the
// call was still being written.
func TestResetWhileTheCallIsWrittenDoesNotReachTheCaller(t *testing.T) {
	const calls = 60
	s := newSocketSystem(t, func(conn *net.TCPConn, echo string) { rawserver.ResetEarly(conn, echo, rawserver.Body) })
	whole := 0
	for range calls {
		if _, ok := s.receiveRaw(t, plainPath, strings.Repeat("x", 512<<10)).WholeSuccess(); ok {
			whole++
		}
		// Targets that lose several answers in a row are avoided for some time.
		s.router.ApplyListing(s.listing)
	}
	require.Zero(t, whole, "of %d calls", calls)
}
