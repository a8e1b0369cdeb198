// Package origin knows at which software version of a target each stream began.
//
// What two software versions of a service write does not fit together, so a stream may go
// on only at a target of the version that sent its first event. A caller that takes a
// stream up names the request that brought the first event, and may do so at an instance
// that has never seen that request, while the one that served it is down.
//
// Each instance records the streams that begin there. While a service has one version,
// records stay where they are. While it has several, each record is also sent to one
// instance of every failure domain before the first event goes to the caller. Which
// instance that is follows from the id of the request, so any other instance finds it.
//
// A version is never guessed. It is known from a record, or because the service has had
// only one version for longer than a stream can last: this instance or another one has known the
// list of targets for so long, or the store has the versions from before (Archive). Otherwise
// the caller is told to begin anew.
//
// A failure domain that is out of reach can't renew the entries of its targets, which may go on
// serving there. The versions last listed in it count as serving meanwhile.
package origin
