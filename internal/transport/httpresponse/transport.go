package httpresponse

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// Transport is an http.Transport that fails instead of returning a malformed response. It is for HTTP/1 only: a response of
// HTTP/2 counts as malformed.
type Transport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { used.Store(&info.Conn) }}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	var unreadable textproto.ProtocolError
	if errors.As(err, &unreadable) {
		return nil, Unreadable(err)
	}
	if err != nil {
		return nil, BoundText(err)
	}
	if err := Check(response); err != nil {
		// A response without a body has returned its connection to the pool already.
		if conn := used.Load(); conn != nil {
			_ = (*conn).Close()
		}
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
