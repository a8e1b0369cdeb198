// Package front is the callers' HTTP server of an instance that serves routes.
// It finds the route and the organisation of each request, holds callers to
// their limits, and hands the request to the relay or to the desk of batch jobs.
// How callers' requests look on the wire is known to its Codec alone.
package front
