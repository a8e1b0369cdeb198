package online

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"merlintiller/internal/protocol"
)

// allowedHeaders pass to targets. It is an allow list, so that the caller's
// key can't reach a target in a header that is added later. Hop-by-hop headers
// (RFC 9110, section 7.6.1) are not on it either.
var allowedHeaders = []string{
	"Accept",
	"Accept-Language",
	"Content-Type",
	"Openai-Beta",
	"Traceparent",
	"Tracestate",
}

// answerHeaders pass from targets to callers.
var answerHeaders = []string{
	"Content-Type",
	"Content-Language",
	"Cache-Control",
	"Retry-After",
}

// HeaderRequestID and HeaderRunState stand on every answer.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderRunState  = "X-Run-State"
)

// toTarget is the part of the caller's headers that a target gets.
func (p *Handler) toTarget(req *Request) http.Header {
	out := make(http.Header, len(p.allowed))
	for _, name := range p.allowed {
		if values := req.Header[name]; len(values) > 0 {
			out[name] = values
		}
	}
	out[HeaderRequestID] = []string{req.ID}
	return out
}

// toCaller is the header of an answer.
func toCaller(req *Request, from http.Header, run protocol.RunState) http.Header {
	out := make(http.Header, len(answerHeaders)+2)
	for _, name := range answerHeaders {
		if values := from[name]; len(values) > 0 {
			out[name] = values
		}
	}
	out[HeaderRequestID] = []string{req.ID}
	out[HeaderRunState] = []string{string(run)}
	return out
}

// showsKey reports whether the caller's key would reach a target in some other
// part of the request than its Authorization header.
func (p *Handler) showsKey(req *Request, header http.Header) bool {
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
