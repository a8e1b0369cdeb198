// Package httpresponse rejects responses that net/http accepts although they are no valid HTTP, and connections whose
// reset net/http can take for the end of a response. All HTTP clients of this project use it.
package httpresponse
