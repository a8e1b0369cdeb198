package engine

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// endlessChunk is the number of bytes of an endless response that are sent each millisecond.
const endlessChunk = 8 << 10

// body writes the body of a response.
type body struct {
	io.Writer
	flush func()
	// end completes a body that was sent without a length. cut closes the connection of such a body
	// before that.
	end, cut func()
}

// writeHead sends the response head and returns the body writer.
func (e *Engine) writeHead(w http.ResponseWriter, entry *Run, fault Fault) body {
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Response-Seal", "seal-"+entry.ID)
	header.Set("Server-Load", e.load())
	header.Set("Keep-Alive", "timeout=5")
	if fault.Crossed || fault.Unframed {
		return e.writeRawHead(w, fault)
	}
	control := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	return body{Writer: w, flush: func() { _ = control.Flush() }, end: func() {}, cut: func() {}}
}

// writeRawHead hijacks the connection to send responses that net/http does not
// produce: an unrelated response first, or a body without a length.
func (e *Engine) writeRawHead(w http.ResponseWriter, fault Fault) body {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	if fault.Crossed {
		_, _ = fmt.Fprint(buffered, "HTTP/1.1 200 OK\r\nRequest-Id: another\r\nResponse-Seal: seal-another\r\nContent-Length: 5\r\n\r\nwrong")
	}
	_, _ = fmt.Fprint(buffered, "HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(buffered)
	_, _ = fmt.Fprint(buffered, "\r\n")
	return body{
		Writer: buffered,
		flush:  func() { _ = buffered.Flush() },
		end: func() {
			_ = buffered.Flush()
			_ = conn.Close()
		},
		cut: func() { _ = conn.Close() },
	}
}

// writeEndless sends bytes of a response without end until the connection is closed.
func (e *Engine) writeEndless(w http.ResponseWriter, entry *Run, fault Fault) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	line := "Padding: x\r\n"
	status := http.StatusOK
	if fault.EndlessError {
		status = http.StatusInternalServerError
	}
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n", status, http.StatusText(status), entry.ID)
	if !fault.EndlessHead {
		line = "data: x\n"
		_, _ = fmt.Fprint(buffered, "Content-Type: text/event-stream\r\n\r\n")
	}
	chunk := strings.Repeat(line, endlessChunk/len(line))
	for n := entry.ResumedAfter + 1; ; n++ {
		if fault.EndlessEvents {
			chunk = fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", endlessChunk))
		}
		_, err = buffered.WriteString(chunk)
		if err != nil || buffered.Flush() != nil {
			return
		}
		<-time.After(time.Millisecond)
	}
}
