// Package targetconn sends requests to targets over persistent HTTP/1.1
// connections and reports for each failure whether the request may have run.
//
// It uses net/http to write requests and read responses, but manages the
// connections itself, for three reasons. First, http.Transport resends a request
// that it considers safe, and a request that is not idempotent must not be sent
// twice. Second, a target may send the response to an earlier request. The client
// recognises it by its request id and reads the next response from the same
// connection, which http.Transport has no means for. Third, a connection on which
// anything unexpected was received must not be reused, and only the code that read
// from the connection can decide that.
package targetconn
