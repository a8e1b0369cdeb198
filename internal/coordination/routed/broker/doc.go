// Package broker divides the slots of targets among the instances that use them.
//
// With a dozen instances or more, all of them send to the same few slots, of which up to six
// in seven are occupied at the peak. Each instance knows the counts of the others only as of
// their last message. Several instances see the same target with a free slot and send to it
// at the same moment, and all but the first of those requests wait in the target's queue
// although other targets have free slots. More frequent messages make this rarer, but need
// many times the messages.
//
// Therefore the targets of a failure domain have a broker: the reachable instance of the
// domain that ranks first by rendezvous hashing. An instance requests a slot from the broker
// before it sends, which takes the time of one message inside the domain, and reports when
// the slot is free again. The broker knows all slots and grants each of them to one request
// at a time. Requests that find no free slot wait at the broker. Those that can still be on
// time go first, regardless of the instance at which they arrived. Batch items get the slots
// that online requests leave free, and yield them when online requests need them. If fair queueing
// is enabled, slots that do not suffice for all waiting requests are divided among organisations by
// weight, and requests that cannot get one in time are rejected.
//
// A broker is not a single point of failure. It stores nothing: instances report their holds
// periodically, and a new broker learns the holds from these reports. If the broker does not
// answer, the instance asks the next one. If that one does not answer either, the instance
// decides by itself from the latest counts of the others. Two brokers at the same time grant
// some slots twice, and those requests wait in a target's queue, as they would without a
// broker.
package broker
