// Package admission decides which online calls run now, wait or are rejected.
//
// Each service has a queue with a bounded flow of calls for each organisation. The
// flows are served by deficit round robin, so that an organisation that sends five times
// its share only delays its own calls. A call whose predicted wait exceeds its deadline
// is rejected at once with a time after which to retry; a call whose deadline passes in
// the queue is rejected at that moment. Batch items never enter these queues.
package admission
