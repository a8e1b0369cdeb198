package journal

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/memlog"
	"merlintiller/internal/state/replica"
)

// Simulated delays of the platform's log.
const (
	appendDelay = 5 * time.Millisecond
	readDelay   = 2 * time.Millisecond
	trials      = 20
)

func slowLog(operation, _ string, _ []byte) memlog.Fault {
	if operation == "append" {
		<-time.After(appendDelay)
		return memlog.None
	}
	<-time.After(readDelay)
	return memlog.None
}

// startFleet starts 12 instances in three failure domains on a log with
// simulated delays.
func startFleet(t *testing.T) (*memlog.Log, *network, []*node) {
	log, network := memlog.New(memlog.Options{AppendsPerSecond: 300}), newNetwork()
	log.SetFault(slowLog)
	var nodes []*node
	for i := range 12 {
		name := fmt.Sprint("i", i)
		nodes = append(nodes, startPeer(t, log, network, name, protocol.Domain(fmt.Sprint("d", i%3))))
	}
	for _, n := range nodes {
		n.waitReady()
	}
	nodes[0].mustSubmit(fleetChange("first", protocol.NoOffset, organisation("o", 0)))
	sleep(5 * time.Second)
	return log, network, nodes
}

func onAll(nodes []*node, condition func(*node) bool) func() bool {
	return func() bool { return !slices.ContainsFunc(nodes, func(n *node) bool { return !condition(n) }) }
}

// reportTimes logs the maximum and the median of several trials.
func reportTimes(t *testing.T, name string, durations []time.Duration) {
	slices.Sort(durations)
	worst, median := durations[len(durations)-1], durations[len(durations)/2]
	t.Logf("measure name=%s unit=s now=%.3f median=%.3f trials=%d instances=12", name, worst.Seconds(), median.Seconds(), len(durations))
}

// TestMeasureInForce logs how long a configuration change and a key withdrawal
// take, in virtual time, until they are in force at 12 instances. The time
// starts when the operator's instance receives them.
func TestMeasureInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, nodes := startFleet(t)
		random := rand.New(rand.NewPCG(1, 1))
		var changed, withdrawn []time.Duration
		for i := range trials {
			rate := float64(i + 1)
			key := protocol.KeyID(fmt.Sprint("k", i))
			hash := fmt.Sprintf("%064x", i)
			began := time.Now()
			rec := fleetChange(fmt.Sprint(i), nodes[0].Fleet().Version, organisation("o", rate))
			rec.FleetChange.Set = append(rec.FleetChange.Set, protocol.FleetObject{Key: &protocol.Key{ID: key, Organisation: "o", SHA256: hash}})
			require.Equal(t, protocol.Accepted, nodes[0].mustSubmit(rec))
			await(t, 10*time.Second, "change", onAll(nodes, func(n *node) bool { return n.Fleet().Organisations["o"].Rate == rate }))
			changed = append(changed, time.Since(began))

			began = time.Now()
			nodes[1].mustSubmit(protocol.Record{KeyWithdraw: &protocol.KeyWithdraw{Key: key}})
			await(t, 10*time.Second, "withdrawal", onAll(nodes, func(n *node) bool { return !n.KeyActive(key) }))
			withdrawn = append(withdrawn, time.Since(began))
			sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		}
		reportTimes(t, "config.in_force_s", changed)
		reportTimes(t, "key.withdrawn_s", withdrawn)
	})
}

// TestMeasureInForceCut logs the same time for a failure domain that is
// isolated from the platform and reaches the other domains.
func TestMeasureInForceCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, nodes := startFleet(t)
		random := rand.New(rand.NewPCG(2, 2))
		for i := 2; i < len(nodes); i += 3 {
			nodes[i].logLink.setFault(allDown)
		}
		sleep(10 * time.Second)
		var changed []time.Duration
		for i := range trials {
			rate := float64(i + 1)
			began := time.Now()
			require.Equal(t, protocol.Accepted, nodes[0].mustSubmit(fleetChange(fmt.Sprint(i), nodes[0].Fleet().Version, organisation("o", rate))))
			await(t, 30*time.Second, "change", onAll(nodes, func(n *node) bool { return n.Fleet().Organisations["o"].Rate == rate }))
			changed = append(changed, time.Since(began))
			sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		}
		reportTimes(t, "config.in_force_cut_s", changed)
	})
}

// TestMeasureExpiry logs how long the session of a killed instance stays open,
// and how many expiries are proposed for one killed instance.
func TestMeasureExpiry(t *testing.T) {
	var took []time.Duration
	proposals := 0
	for seed := range uint64(trials) {
		synctest.Test(t, func(t *testing.T) {
			log, _, nodes := startFleet(t)
			sleep(time.Duration(rand.New(rand.NewPCG(seed, 3)).Int64N(int64(2 * time.Second))))
			victim := nodes[seed%12].Session()
			nodes[seed%12].kill()
			rest := slices.Delete(slices.Clone(nodes), int(seed%12), int(seed%12)+1)
			took = append(took, await(t, 30*time.Second, "expiry", onAll(rest, func(n *node) bool {
				open := true
				n.View(func(s *replica.State) { open = s.Sessions.Open(victim) })
				return !open
			})))
			sleep(10 * time.Second)
			proposals += expiriesIn(t, log)
		})
	}
	reportTimes(t, "session.expired_s", took)
	t.Logf("measure name=session.expiries_per_death unit=records now=%.2f", float64(proposals)/trials)
}

func expiriesIn(t *testing.T, log *memlog.Log) int {
	page, err := log.Read(t.Context(), protocol.ControlStream, 0, 1<<20, 0)
	require.NoError(t, err)
	count := 0
	for _, entry := range page.Entries {
		if frameContains(entry.Payload, isExpiry) {
			count++
		}
	}
	return count
}
