package mesh

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/quarantine"
	"merlintiller/internal/coordination/routed/quota"
)

// earlierHeartbeat has the fields of rates that the release before this one sends and reads.
type earlierHeartbeat struct {
	From          Instance
	Seq           uint64
	ConfigVersion int64
	Admitted      quota.Counts
	Whole         bool
	Informed      bool
	TellsLevels   bool
	Levels        quota.BucketLevels
}

// earlierSnapshotReply is SnapshotReply without Complete.
type earlierSnapshotReply struct {
	Instances []Instance
}

// transfer encodes a value as net/rpc does, and decodes it into another one.
func transfer(t *testing.T, from, to any) {
	t.Helper()
	var wire bytes.Buffer
	require.NoError(t, gob.NewEncoder(&wire).Encode(from))
	require.NoError(t, gob.NewDecoder(&wire).Decode(to))
}

// Guards against instances of two releases side by side that don't understand each other's
// messages, or believe levels of an instance that has no limits.
func TestMessagesOfRatesAreUnderstoodByTwoReleases(t *testing.T) {
	levels := quota.BucketLevels{"o": -3}
	var earlier earlierHeartbeat
	transfer(t, Heartbeat{
		From: instance("a", 1), Seq: 7, ConfigVersion: 3, Admitted: quota.Counts{"o": 9}, Whole: true,
		Informed: true, TellsLevels: true, Levels: levels, Doubtful: true, Settling: true,
	}, &earlier)
	require.Equal(t, earlierHeartbeat{
		From: instance("a", 1), Seq: 7, ConfigVersion: 3, Admitted: quota.Counts{"o": 9}, Whole: true, Informed: true, TellsLevels: true, Levels: levels,
	}, earlier)
	var now Heartbeat
	transfer(t, earlier, &now)
	require.Equal(t, levels, now.RateReport(SilenceTimeout).Levels)
	require.False(t, now.Settling || now.Doubtful)
	earlier.ConfigVersion, earlier.Levels = 0, nil
	now = Heartbeat{}
	transfer(t, earlier, &now)
	require.Nil(t, now.RateReport(SilenceTimeout).Levels, "told without limits")
	var reply SnapshotReply
	transfer(t, earlierSnapshotReply{Instances: []Instance{instance("a", 1)}}, &reply)
	require.Len(t, reply.Instances, 1)
	require.False(t, reply.Complete)
}

// Guards against instances of an earlier release that can't read messages with reports of crashes, or
// whose messages can't be read since they have none.
func TestMessagesWithQuarantineReportsAreUnderstoodByTwoReleases(t *testing.T) {
	report := &quarantine.Report{
		Version:  4,
		Crashes:  []quarantine.Crash{{Target: "t", Started: 5, Parts: []string{"p"}, SeenBy: []string{"a"}, Age: time.Second}},
		Closures: []quarantine.Closure{{Parts: []string{"p"}, Crashes: 4}},
		Requests: []quarantine.RequestEnds{{Key: "request:1", Ends: []quarantine.RequestEnd{{Target: "t", State: quarantine.EndConfirmed}}}},
	}
	var earlierReport struct {
		Version uint64
		Crashes []quarantine.Crash
	}
	transfer(t, report, &earlierReport)
	require.Equal(t, report.Crashes, earlierReport.Crashes, "without requests")
	sent := Heartbeat{From: instance("a", 1), Seq: 7, Quarantine: report, QuarantineRead: &quarantine.Position{Start: 1, Version: 2}, Asked: quota.Counts{"o": 3}}
	var earlier earlierHeartbeat
	transfer(t, sent, &earlier)
	require.Equal(t, earlierHeartbeat{From: instance("a", 1), Seq: 7}, earlier)
	var now Heartbeat
	transfer(t, earlier, &now)
	require.Nil(t, now.Quarantine)
	require.Nil(t, now.QuarantineRead)
	require.Nil(t, now.RateReport(SilenceTimeout).Asked)
	transfer(t, sent, &now)
	require.Equal(t, report, now.Quarantine)

	m := New(Config{Self: instance("b", 1)})
	reply := Heartbeat{From: instance("b", 1)}
	m.answerQuarantine(&Heartbeat{From: instance("a", 1)}, &reply)
	require.Nil(t, reply.Quarantine, "an earlier release does not ask")
}
