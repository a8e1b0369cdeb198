package rawanswer

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
)

// SendCut sends the first bytes of a response, as it is, and closes the connection.
func SendCut(w http.ResponseWriter, whole string, cut int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, whole[:min(cut, len(whole))])
	_ = conn.Close()
}

// Recorded returns the bytes of a handler's response, with a length or with each event of a stream in a chunk of its own.
func Recorded(handler http.Handler, r *http.Request, chunked bool) string {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	body := recorder.Body.String()
	var out strings.Builder
	_, _ = fmt.Fprintf(&out, "HTTP/1.1 %d Some Reason\r\n", recorder.Code)
	_ = recorder.Header().Write(&out)
	if !chunked {
		return out.String() + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for part := range strings.SplitAfterSeq(body, "\n\n") {
		if part != "" {
			_, _ = fmt.Fprintf(&out, "%x\r\n%s\r\n", len(part), part)
		}
	}
	out.WriteString("0\r\n\r\n")
	return out.String()
}
