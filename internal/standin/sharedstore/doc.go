// Package sharedstore is an in-memory fake, for tests, of the store that the
// platform of the users provides. It has topics of keyed records with
// conditional appends, long-poll reads, and consumer groups that divide the
// partitions, over the wire format of the platform. Each caller has an Endpoint
// of its own, on which a test can inject outages, delays and lost replies.
package sharedstore
