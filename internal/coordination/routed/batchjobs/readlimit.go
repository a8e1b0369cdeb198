package batchjobs

import "time"

// ownerReadLimit is the time without a read of its partition after which an owner leaves
// calls on jobs that it does not have to fallback readers. The store may still accept the joins of
// such an owner, which are small, so that it keeps the partition.
//
// The load of a large partition on a busy store takes some seconds. With a shorter limit,
// fallback readers would load beside owners that make progress and take a part of the read rate.
const ownerReadLimit = 8 * time.Second

// noteRead records that the store has answered a read of the partition.
func (p *partitionReplica) noteRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readAt = time.Now()
}

// readsFail says that the store has answered no read of the partition for ownerReadLimit.
func (p *partitionReplica) readsFail() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.readAt) >= ownerReadLimit
}

// leavesToFallback says whether the owner leaves calls on a job to fallback readers.
func (p *partitionReplica) leavesToFallback(job string) bool {
	found, _ := p.job(job)
	return p.readsFail() && !found.known
}

// leavesToFallback says whether this instance owns the partition of a job and leaves calls
// on the job to fallback readers.
func (s *JobService) leavesToFallback(job string) bool {
	p, owned := s.owner.replicaOf(s.opts.partitionOf(job).Number)
	return owned && p.leavesToFallback(job)
}
