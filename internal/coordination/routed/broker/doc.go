// Package broker divides the slots of targets among the instances that use them.
//
// The load it answers: a dozen instances or more send to the same few slots, at
// the peak to six in seven of them at once. Each instance by itself knows what
// the others have only as of their last message. All of them see the same target
// with a free slot and send there at the same moment, and whoever comes second
// waits in the target's queue although slots are free elsewhere. Telling each other
// more often makes that rarer, at many times the messages.
//
// So the targets of a failure domain have a broker: the instance of the domain
// that comes first by rendezvous hashing of those that are heard. An instance asks
// it for a slot before it sends, which takes the time of one message inside the
// domain, and tells it when the slot is free again. The broker knows of every slot
// and gives each away once. Requests that find no slot wait at the broker, those
// that can still be on time first, whichever instance they came to. Batch items get
// what online requests leave, and give it back when those need it.
//
// Nothing hangs on a broker. It keeps nothing: instances tell what they hold again
// and again, and a new broker learns it from them. If it does not answer, the next
// one is asked, and if none does, the instance decides by itself from what the
// others told last. Two brokers at once give some slots away twice; those requests
// wait in a target's queue, as they would without a broker.
package broker
