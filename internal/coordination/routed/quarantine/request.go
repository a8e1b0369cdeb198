package quarantine

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/protocol/exchange"
)

// requestKeyPrefix begins the key of a request. A closure of a request has its key in place of parts.
const requestKeyPrefix = "request:"

// Request is what the quarantine decides on: a request of a caller or an item of a batch job.
type Request struct {
	// ID is the id of the caller's attempt or of the item, for logs.
	ID string
	// Key is the same for all runs of a request, see OnlineKey and ItemKey.
	Key string
	// Parts are the ids of the parts of the prompt that other requests may share.
	Parts []string
	// Expires is when the request is given up, zero if that is not known.
	Expires time.Time
}

// subjects returns what may be closed for a request: its key and its parts.
func (r *Request) subjects() []string {
	parts := bounded(r.Parts)
	if r.Key != "" {
		parts = append(parts, r.Key)
	}
	return parts
}

// OnlineKey returns the key of a caller's request. A caller that repeats a request or resumes a stream
// uses another id and another position, so the key depends on the content only.
func OnlineKey(organisation string, r *exchange.Request) string {
	digest := xxhash.New()
	add := func(field string) {
		// The length separates the fields.
		_, _ = digest.WriteString(strconv.Itoa(len(field)) + ":")
		_, _ = digest.WriteString(field)
	}
	for _, field := range []string{organisation, r.Method, r.Host, r.Path, r.Query} {
		add(field)
	}
	for _, part := range r.Prompt.Parts {
		add(part.ID)
	}
	_, _ = digest.Write(r.Body)
	return requestKey(digest.Sum64())
}

// ItemKey returns the key of an item of a batch job.
func ItemKey(job, item string) string {
	return requestKey(xxhash.Sum64String(strconv.Itoa(len(job)) + ":" + job + item))
}

func requestKey(digest uint64) string { return requestKeyPrefix + strconv.FormatUint(digest, 16) }

// isRequestKey reports whether a subject of a closure is the key of a request.
func isRequestKey(subject string) bool { return strings.HasPrefix(subject, requestKeyPrefix) }
