package online

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"merlintiller/internal/protocol"
)

// forwardedHeaders are the request headers that are passed to targets. An allow
// list keeps the caller's key from reaching a target in a header that is
// introduced later. It contains no hop-by-hop headers (RFC 9110, section 7.6.1).
var forwardedHeaders = []string{
	"Accept",
	"Accept-Language",
	"Content-Type",
	"Openai-Beta",
	"Traceparent",
	"Tracestate",
}

// returnedHeaders are the response headers that are passed from targets to
// callers.
var returnedHeaders = []string{
	"Content-Type",
	"Content-Language",
	"Cache-Control",
	"Retry-After",
}

// HeaderRequestID and HeaderRunState are set on every response.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderRunState  = "X-Run-State"
)

// targetHeader returns the header of the call to a target.
func (h *Handler) targetHeader(req *Request) http.Header {
	out := make(http.Header, len(h.headersToForward))
	for _, name := range h.headersToForward {
		if values := req.Header[name]; len(values) > 0 {
			out[name] = values
		}
	}
	out[HeaderRequestID] = []string{req.ID}
	return out
}

// callerHeader returns the header of the response to the caller.
func callerHeader(req *Request, targetHeader http.Header, run protocol.RunState) http.Header {
	out := make(http.Header, len(returnedHeaders)+2)
	for _, name := range returnedHeaders {
		if values := targetHeader[name]; len(values) > 0 {
			out[name] = values
		}
	}
	out[HeaderRequestID] = []string{req.ID}
	out[HeaderRunState] = []string{string(run)}
	return out
}

// leaksKey reports whether the body, the path or a forwarded header contains the
// caller's key, so that the key would reach a target. The Authorization header
// itself is never forwarded.
func (h *Handler) leaksKey(req *Request, header http.Header) bool {
	if req.Secret == "" {
		return false
	}
	if bytes.Contains(req.Body, []byte(req.Secret)) || strings.Contains(req.Path, req.Secret) {
		return true
	}
	if plain, err := url.QueryUnescape(req.Path); err == nil && strings.Contains(plain, req.Secret) {
		return true
	}
	for _, values := range header {
		for _, value := range values {
			if strings.Contains(value, req.Secret) {
				return true
			}
		}
	}
	return false
}
