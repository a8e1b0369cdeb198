// Package routed is the root of the coordination of instances that serve the routes of
// a shared store. Its packages decide who gets which slot (placement, broker), what an
// organisation may use (quota), what becomes of a request (relay) and of a batch job
// (batchjobs), and keep what is known of the store (fleetview) and of the other
// instances (mesh).
//
// The packages beside it coordinate by replaying a log.
package routed
