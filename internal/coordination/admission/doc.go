// Package admission decides which online calls run now, wait or are refused.
//
// Each service has bounded queues, one for each organisation, served by deficit
// round robin, so that an organisation that sends five times its share waits
// behind itself only. A call whose predicted wait passes its deadline is refused
// at once and told when to come back; one whose deadline passes in the queue is
// refused at that moment. Batch items never enter these queues.
package admission
