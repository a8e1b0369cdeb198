// Package servicetime estimates how long answers of each service take: from sending a request to
// a target until the first bytes are sent to the caller or taken over for delivery, and until the answer is complete. It decides
// from that by when a waiting request must be sent, and when an exchange without an answer counts
// as stalled.
//
// The load that it handles: the speed of targets differs, and changes several times a second, so
// that constants fit neither the fast services nor the slow ones.
//
// Estimates are from the answers that this instance has forwarded in the last ten seconds, and
// are in its memory only.
package servicetime
