// Package limiter enforces each organisation's rate and burst across all
// instances. Most decisions need no call to another instance, and no
// coordination service is involved.
//
// Tokens are transferred, never duplicated. An organisation's rate and burst
// are divided into quotas, one for each of its slots (Divide). A slot is held
// by one session through a lease in the platform's log, and the holder keeps a
// token bucket for the slot's quota. An instance spends tokens from slots that
// it holds, or takes tokens from other holders: it prefetches them, and asks
// once more before it rejects a request. A holder debits its bucket before it
// replies, so a lost reply loses tokens and never doubles them.
//
// The sum of admitted tokens stays within the rate and burst in every time
// window, for these reasons:
//
//   - A bucket's tokens plus its outstanding grants never exceed its burst, and
//     their sum grows at most at the bucket's rate (bucket).
//   - A grant expires at the receiver, counted from before the receiver sent
//     its request, before the holder stops counting the grant as outstanding
//     (Core.HandleReply, Core.Take).
//   - A slot has at most one user at a time (extension, ClaimPolicy).
//   - A slot that changes hands starts empty and fills only after all grants of
//     the former holder have expired (Core.AddSlot).
//   - The quotas add up to the rate and burst (Divide). During the rollout of a
//     configuration in which some quotas grow and others shrink, a growing
//     quota keeps its lower value until every holder has applied the new
//     configuration.
//
// The package relies on two assumptions: the rates of monotonic clocks differ
// by at most ClockDrift, and the process that answers at an instance's address
// is the only process of that instance.
package limiter
