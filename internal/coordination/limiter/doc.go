// Package limiter holds every organisation to its rate and burst over all
// instances together, without asking anybody on the usual path and without a
// coordination service.
//
// Tokens are moved, never created. An organisation's rate and burst are divided
// over slots (Divide). A slot is held by one session through a lease in the
// platform's log; its holder keeps a token bucket with the slot's part. An
// instance spends tokens of slots it holds, or takes tokens from other holders:
// ahead of need, and once more before it refuses. A holder debits before it
// answers, so a lost answer loses tokens and never doubles them.
//
// Why the sum never passes the rate and burst, in any window:
//
//   - A bucket's tokens plus what it lent and may still be used never pass its
//     burst, and they grow by at most its rate (bucket).
//   - What was lent ends on the asker's clock, counted from before the request
//     was sent, before the holder stops counting it (Core.Answered, Core.Take).
//   - A slot has one user at a time (extension, Claims).
//   - A slot that changes hands starts empty, and fills only once all that the
//     former holder lent has ended (Core.Hold).
//   - The parts sum up to the rate and burst (Divide). While a change of
//     configuration travels, a part that would grow beside one that shrinks
//     stays at the lower value until every holder follows the change.
//
// The package assumes what its settings state: clocks run at a rate that differs
// by at most ClockDrift, and the process that answers at an instance's address
// is that instance's only one.
package limiter
