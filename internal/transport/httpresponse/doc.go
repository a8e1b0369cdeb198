// Package httpresponse rejects responses that net/http accepts although they are no valid HTTP. All HTTP clients of this
// project use it.
package httpresponse
