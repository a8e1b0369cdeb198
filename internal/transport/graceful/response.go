package graceful

import (
	"bytes"
	"io"
	"net/http"
)

// responseBuffer is an http.ResponseWriter that keeps the response in memory.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *responseBuffer) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }

// encodeResponse returns the bytes of a response after which the connection is closed.
func encodeResponse(write func(http.ResponseWriter)) []byte {
	buffer := &responseBuffer{header: http.Header{}, status: http.StatusOK}
	write(buffer)
	response := http.Response{
		StatusCode: buffer.status, ProtoMajor: 1, ProtoMinor: 1, Header: buffer.header,
		Body: io.NopCloser(&buffer.body), ContentLength: int64(buffer.body.Len()), Close: true,
	}
	var out bytes.Buffer
	// A write to a buffer doesn't fail.
	_ = response.Write(&out)
	return out.Bytes()
}
