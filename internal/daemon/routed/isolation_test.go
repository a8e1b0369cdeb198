package routed

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/sharedstore"
)

// cutOff parts the instances of a failure domain from all others and from the store.
func (w *world) cutOff(domain string) (mend func()) {
	others := []string{storeIP}
	for _, n := range w.nodes {
		if n.domain != domain {
			others = append(others, w.domainIPs(n.domain)...)
		}
	}
	w.net.Partition(w.domainIPs(domain), others)
	return func() { w.net.HealPartition(w.domainIPs(domain), others) }
}

// A failure domain is cut off from the store and from all others, and callers still
// reach it. It can keep no job. Were it ready, the balancer would send it jobs until
// the cut ends, and each would be lost; and a job that is known not to be kept must
// not wait for its caller's end.
func TestDomainThatIsCutOffSendsJobsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 2, nodes: 2, targets: 2})
		mend := w.cutOff("d0")
		pass(1200 * time.Millisecond)
		require.False(t, w.nodes[0].ready())
		require.False(t, w.nodes[1].ready())
		require.True(t, w.nodes[2].ready())
		got := w.nodes[0].send(jobOf("job", 2, 20))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Less(t, got.took, 50*time.Millisecond)
		retry, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, retry, 0.2)
		require.Less(t, retry, 2.5)
		served := w.nodes[0].send(ask{id: "r", path: "/once/a/5", key: keyOne})
		require.Equal(t, stream("r", 5), served.body, "it serves whom it can")
		require.Equal(t, http.StatusAccepted, w.nodes[2].send(jobOf("job", 2, 20)).status)
		mend()
		pass(1200 * time.Millisecond)
		require.True(t, w.nodes[0].ready())
		require.Equal(t, http.StatusAccepted, w.nodes[0].send(jobOf("next", 2, 20)).status)
	})
}

// The store and all other failure domains are lost for long. The instances that are left
// can't tell that from a cut, and whoever calls has nobody else to go to.
func TestDomainThatIsLeftAloneServesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 2, nodes: 2, targets: 2})
		w.cutOff("d0")
		pass(5 * time.Second)
		require.False(t, w.nodes[0].ready())
		pass(unreadyMost)
		require.True(t, w.nodes[0].ready())
		require.Equal(t, stream("r", 5), w.nodes[0].send(ask{id: "r", path: "/once/a/5", key: keyOne}).body)
		require.Equal(t, http.StatusServiceUnavailable, w.nodes[0].send(jobOf("job", 2, 20)).status)
	})
}

// The store is away for everybody. No instance could keep a job, so none may send its
// callers away: the balancer would find nobody for online requests either.
func TestInstancesStayReadyWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 2, nodes: 2, targets: 2})
		for _, n := range w.nodes {
			n.door.Set(sharedstore.Fault{Silent: true})
		}
		for range 8 {
			pass(500 * time.Millisecond)
			for _, n := range w.nodes {
				require.True(t, n.ready(), n.name)
			}
		}
	})
}

// A failure domain of a deployment that takes no batch jobs is cut off. Its instances can
// serve all that comes to them by their own targets; sent elsewhere, callers would crowd
// the targets of the others.
func TestDomainWithoutJobsStaysReadyInACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 2, nodes: 2, targets: 2})
		w.configure(func(config map[string]any) { config["routes"] = config["routes"].([]any)[:2] })
		pass(1500 * time.Millisecond)
		w.cutOff("d0")
		for range 6 {
			pass(500 * time.Millisecond)
			require.True(t, w.nodes[0].ready())
		}
	})
}
