// Package fleetview holds an instance's view of the configuration in force, the
// targets and the drained failure domains. An instance reads them from the
// platform's store, and also adopts them from other instances, for example while the
// store is unreachable.
//
// The version of the configuration only increases within one incarnation of an
// instance: a configuration is adopted if its version is higher than that of the one in
// force, whether it comes from the store or from an instance. The list of targets
// carries the offset in the store up to which it was read, and a list with a smaller
// offset is ignored.
//
// A connection to the store may stay open without delivering anything. Therefore each
// read has a short wait and a timeout, and the newest records are read in full every
// reloadInterval.
package fleetview
