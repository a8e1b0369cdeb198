// Package inflight replicates to another instance which requests an instance has sent to targets. A target may end under
// a request, and the instance that sent it be down or silent before it has told anyone: then the holder of the replica has
// the target checked. Otherwise a request that ends its targets would have one run more for each instance that is lost
// with it.
//
// Replication is asynchronous, except for requests under which targets may have ended. The holder is in another failure
// domain if one is up there. What its sender and its holder know is lost only if both are lost at once.
package inflight
