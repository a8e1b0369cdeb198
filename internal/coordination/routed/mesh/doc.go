// Package mesh keeps the instances of a fleet informed about each other. They exchange
// small heartbeats directly, without a leader.
//
// A heartbeat carries the sender's own state: the slots that it occupies at targets, the
// requests that it has admitted for each organisation, the version of the configuration in
// force, how far it has read the list of targets, and the partitions of batch jobs that it
// owns. Heartbeats may be merged in any order, lost or repeated: counts are totals since
// the sender's start, versions only increase, and a sender's later heartbeat replaces its
// earlier one.
//
// In a small fleet each instance exchanges heartbeats with all others. In a larger fleet
// each instance exchanges them with the relays of its failure domain only. The relays
// exchange them with the relays of the other domains and pass on what they receive. A relay
// passes on each instance's own state, never a sum over several instances, so that the same
// state may arrive over several paths.
//
// A missing heartbeat does not prove that an instance is dead. Only a refused connection
// shows that its process does not run. Silence may be caused by a network partition, and a
// silent instance may still serve callers.
package mesh
