// Package headroom assigns slots for batch items next to the online traffic, and
// revokes them as soon as online traffic needs them.
//
// Engines have no priorities and accept requests in the order of arrival, so
// limiting the number of batch items is the only way to prefer online calls. Each
// target has a feeder: the one instance that sends batch items to it. The feeder
// keeps a batch window for the target, whose size is the number of slots less the
// online calls in flight. The feeder counts its own online calls at once and
// those of other instances as soon as it receives their notices. The target's
// load report, which lags, shows the rest. When the window becomes smaller than
// the number of placed items, the newest items are revoked: they lose the least
// work, and their partial output is kept so that they can be resumed.
package headroom
