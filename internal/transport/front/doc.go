// Package front is the callers' HTTP server of an instance that serves routes. It
// finds the route and the organisation of each request, enforces the limits of
// callers, and passes the request to the relay or to the service for batch jobs.
// Only the Codec knows the wire format of callers' requests.
package front
