package proctest

import "testing"

// An instance is killed the moment it has acknowledged a job: the caller holds
// an id, and the only process that has answered for it is gone. A user would
// notice a report that nobody ever writes, or that is written and billed twice.
func TestKillRightAfterAcknowledgement(t *testing.T) {
	const items, tokens = 300, 4
	f := start(t, options{settings: shortTimings})
	job := f.submit(f.client(f.Instances[0], f.secret), items, tokens)
	f.Instances[0].Process.Kill()
	f.requireWhole(f.client(f.Instances[1], f.secret), job, items, tokens)
	f.requireWhole(f.client(f.Instances[2], f.secret), job, items, tokens)
}
