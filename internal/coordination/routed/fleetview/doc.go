// Package fleetview keeps what an instance knows of the configuration in force
// and of the targets. Both are read from the platform's store and, where that is
// cut off, taken from other instances.
//
// The configuration only moves forward within one life of an instance: a version
// is taken over if it is newer than the one in force, whoever brought it. The
// list of targets carries the store's offset, and a list as of an older offset
// changes nothing.
//
// A watch may go silent: the connection stays open and nothing comes. So no read
// waits for long, each has a timeout, and the newest records are read in full
// now and then.
package fleetview
