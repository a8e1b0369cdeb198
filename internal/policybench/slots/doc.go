// Package slots simulates in virtual time how online requests and batch items share
// the slots of targets. The production decision code of placement and broker runs
// against a model of the targets' engines, under the loads of both production
// deployments. A run with the same seed gives the same result on every machine and
// takes about ten milliseconds.
//
// The model includes engines that serve requests in order of arrival, up to a limit at
// once, and become slower with each running request and each prompt to be read. It
// includes message delays between instances, load swings, bursts and lost targets.
//
// The model leaves out the processor time of instances, the store (items are available
// at once and results cost nothing), the rates of organisations, network partitions
// between instances, and lost replies. It also leaves out the memory of engines, because
// eight requests of 2,000 tokens need only an eighth of that memory. The results are
// therefore too good in absolute terms and only serve to rank strategies.
//
// The strategy in which each instance chooses by peer counts looks worse here than in
// runs with real processes, where 5 to 9 requests in 100 were late: in the model an
// instance preempts only its own items.
package slots
