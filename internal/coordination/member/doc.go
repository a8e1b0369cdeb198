// Package member implements fleet membership.
//
//   - Holder decides when the instance renews its own session and until when
//     the instance may do exclusive work under that session.
//   - Observer decides when another session has missed renewals for so long
//     that this instance may propose its expiry.
//   - Heartbeats tracks which peers answer directly. Routing uses the result as
//     a hint. Heartbeats also carry configuration and key withdrawals into a
//     failure domain that has no connection to the platform.
//
// Holder and Observer do no I/O and take the time as an argument. Package
// journal, which reads and writes the control stream, drives both of them.
package member
