// Package slots plays how online requests and batch items share the slots of targets,
// in virtual time: the decision code of placement and broker before a model of the
// targets' engines, under the loads of both users' deployments. The same seed plays
// the same day on every machine, and a day takes some ten milliseconds.
//
// What it models: engines that run so many requests at once, first come first served,
// each slower the more run and the more prompts are read; instances that learn of the
// others only by messages; swings, bursts and targets that are lost. What it leaves
// out, and where it misleads: the processor time of instances, the store (items are
// there at once and results cost nothing), rates of organisations, cuts between
// instances, lost answers. Instances that choose by counts take back only items of
// their own, so that way looks worse than it was played: 5 to 9 late requests in 100. Memory of engines is left out because eight requests of
// 2,000 tokens are an eighth of it. So its figures are too good in absolute terms; it
// ranks ways of dividing slots, and no more than that.
package slots
