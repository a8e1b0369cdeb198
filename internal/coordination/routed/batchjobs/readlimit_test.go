package batchjobs

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// An owner never loads its partition, and callers reach that instance. They must get the
// jobs through fallback readers, as the callers of all others do.
func TestOwnerThatNeverLoadsReadsThroughFallbackReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 6, 300*time.Millisecond)
		f.instances[0].log.unreachable.Store(true)
		f.instances[0].own()
		sleep(ownerReadLimit)
		for _, inst := range f.instances {
			require.Equal(t, Done, inst.read(jobID))
			require.Equal(t, Missing, inst.read("unknown"))
			body := inst.Body(t.Context(), BodyCall{Job: jobID, Item: "item-0", Organisation: "o"})
			require.Equal(t, BodyReply{Verdict: Done, Body: []byte("body")}, body)
		}
		var loads int64
		for _, inst := range f.instances[1:] {
			loads += inst.log.loadsStarted.Load()
		}
		require.LessOrEqual(t, loads, int64(maxFallbackReaders))
		require.Equal(t, Done, f.instances[0].Cancel(t.Context(), JobCall{Job: jobID, Organisation: "o"}))
	})
}

// An owner takes almost ownerReadLimit to load its partition. Fallback readers that loaded it at the
// same time would take a part of the store's read rate.
func TestNobodyElseLoadsBeforeOwnerReadLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 6, ownerReadLimit-100*time.Millisecond)
		f.instances[0].own()
		for deadline := time.Now().Add(ownerReadLimit - 300*time.Millisecond); time.Now().Before(deadline); sleep(200 * time.Millisecond) {
			f.readEverywhere(f.instances, jobID, 1)
		}
		sleep(time.Second)
		require.Equal(t, map[Verdict]int{Done: 6}, f.readEverywhere(f.instances, jobID, 1))
		started, _ := f.loads()
		require.EqualValues(t, 1, started, "the owner's load")
	})
}

// An owner follows its partition and there are no new records for a long time. Its reads
// succeed, so it must go on deciding on its jobs.
func TestOwnerOfIdlePartitionKeepsDeciding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 6, 0)
		f.instances[0].own()
		sleep(3 * ownerReadLimit)
		require.Equal(t, map[Verdict]int{Missing: 6}, f.readEverywhere(f.instances, "unknown", 1))
		started, _ := f.loads()
		require.EqualValues(t, 1, started, "the owner's load")
	})
}

// Fallback readers fail as well. The line must say that the owner has not loaded the partition.
func TestCallThatOwnerLeavesToFallbackReadersSaysWhy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, p, logs := loggingService(t, noPeers{}, replyingOwner{})
		service.owner.owned[0] = &ownedPartition{partitionReplica: newPartitionReplica(p.opts, p.at, nil)}
		sleep(ownerReadLimit)
		require.Equal(t, NotDone, service.Results(t.Context(), ResultsCall{Job: jobID, Organisation: "o"}).Verdict)
		require.Contains(t, logs.String(), "event=job_call_not_done job=job partition=0 call=results why=owner_not_loaded owner=")
	})
}

// A reply says that an owner does not read its partition, in which case it is not the former
// owner of a partition that was reassigned.
func TestReplySaysThatOwnerDoesNotRead(t *testing.T) {
	require.Equal(t, ownerNotLoaded, whyNotHeld(ResultsReply{Verdict: NotHeld, NotLoaded: true}))
	require.Equal(t, notHeld, whyNotHeld(BodyReply{Verdict: NotHeld}))
}
