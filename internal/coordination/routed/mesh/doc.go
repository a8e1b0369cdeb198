// Package mesh keeps an instance in touch with the others of its fleet by small
// direct messages, without a leader.
//
// Each message carries what one instance knows of itself: the requests that it
// has at targets, those that it let in for each organisation, the version of the
// configuration in force, how far it has read the list of targets, and the
// partitions of batch jobs that it holds. All of that may be merged in any
// order, lost or repeated: counts are totals since the sender's start, versions
// only grow, and a sender's later message replaces its earlier one.
//
// In a small fleet each instance speaks to all others. In a larger one it speaks to the
// relays of its failure domain, which speak to those of the other domains and pass on what
// they hear: what each instance told, never a sum of several, so that it may come by any
// number of ways.
//
// A message is a hint, never a proof of death. Only a refused connection says
// that a process is not there; silence may be a cut, and whoever is silent may
// serve callers of its own.
package mesh
