// Package rawanswer tells what a caller makes of the bytes of an HTTP response, for tests of answers that are cut. It
// decodes strictly and does not use net/http, whose server sent the bytes.
package rawanswer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Answer is what a caller received on a connection.
type Answer struct {
	Raw []byte
	// Reset reports that the connection ended with an error.
	Reset bool
}

// Read reads from a connection until a response is whole, the connection ends, or nothing has come for some time.
func Read(conn net.Conn, silence time.Duration) (Answer, error) {
	if err := conn.SetReadDeadline(time.Now().Add(silence)); err != nil {
		return Answer{}, err
	}
	var raw bytes.Buffer
	ended := &endReader{Reader: conn}
	response, err := http.ReadResponse(bufio.NewReader(io.TeeReader(ended, &raw)), nil)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
	}
	return Answer{Raw: raw.Bytes(), Reset: ended.err != nil && !errors.Is(ended.err, io.EOF)}, nil
}

// endReader keeps the error of the last read.
type endReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *endReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.err = err
	return n, err
}

// WholeSuccess reports whether a caller takes the answer for a whole success, and returns its body.
func (a Answer) WholeSuccess() (body string, whole bool) {
	head, rest, found := bytes.Cut(a.Raw, []byte("\r\n\r\n"))
	if !found || !bytes.HasPrefix(head, []byte("HTTP/1.1 2")) && !bytes.HasPrefix(head, []byte("HTTP/1.0 2")) {
		return "", false
	}
	lower := strings.ToLower(string(head))
	if strings.Contains(lower, "\r\ntransfer-encoding: chunked") {
		return joinChunks(string(rest))
	}
	_, after, sized := strings.Cut(lower, "\r\ncontent-length: ")
	if !sized {
		return string(rest), !a.Reset
	}
	line, _, _ := strings.Cut(after, "\r\n")
	length, err := strconv.Atoi(line)
	if err != nil || len(rest) < length {
		return "", false
	}
	return string(rest[:length]), true
}

// joinChunks returns the content of chunks, and whether the last one is among them.
func joinChunks(rest string) (content string, whole bool) {
	for {
		size, after, found := strings.Cut(rest, "\r\n")
		length, err := strconv.ParseUint(size, 16, 31)
		if !found || err != nil || len(after) < int(length)+len("\r\n") {
			return content, false
		}
		if length == 0 {
			return content, strings.HasPrefix(after, "\r\n")
		}
		content, rest = content+after[:length], after[length+uint64(len("\r\n")):]
	}
}
