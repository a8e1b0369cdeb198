// Package member decides who is a member of the fleet.
//
//   - Holder: when the instance renews its own session, and until when it may
//     do exclusive work under it.
//   - Observer: when another session has been silent for so long that its
//     expiry may be proposed.
//   - Heartbeats: which other instances answer directly, as a hint for routing
//     and as a way for configuration and withdrawn keys into a failure domain
//     that is cut off from the platform.
//
// Holder and Observer are pure: time comes in as an argument. Their shells run
// in package journal, next to the stream that carries the records.
package member
