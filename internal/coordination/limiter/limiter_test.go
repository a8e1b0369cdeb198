package limiter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

func threeDomains(t *testing.T) *fakeFleet {
	t.Helper()
	f := newFakeFleet(t)
	f.start("a1", "a")
	f.start("a2", "a")
	f.start("a3", "a")
	f.start("b1", "b")
	f.start("c1", "c")
	var orgs []protocol.Organisation
	for i := range 12 {
		orgs = append(orgs, protocol.Organisation{ID: protocol.OrganisationID(fmt.Sprintf("o%d", i)), Rate: 30, Burst: 30})
	}
	f.configure("a1", equalShares("a", "b", "c"), orgs...)
	sleep(10*time.Second + 300*time.Millisecond)
	return f
}

// All callers of an organisation use one instance, which holds only a few of
// the organisation's slots. If the tokens of the other instances did not reach
// it, callers within their rate would be rejected.
func TestCallersAtOneInstanceGetTheFullBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		require.Equal(t, 30, f.countAdmitted("a1", "o0", 60))
	})
}

// A failure domain is isolated from the others. Its callers get the domain's
// share without waiting for a timeout of the other domains on every request.
func TestIsolatedDomainAdmitsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		f.net.partitionDomains("a", "b")
		f.net.partitionDomains("a", "c")
		require.Equal(t, 10, f.countAdmitted("a1", "o0", 60))
	})
}

// The first call of a new organisation arrives right after its configuration.
// With a permanent rejection the client would give up although the organisation
// is configured, so the rejection must state a retry delay.
func TestNewOrganisationIsRejectedWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		f.configure("a1", equalShares("a", "b", "c"), protocol.Organisation{ID: "new", Rate: 30, Burst: 30})
		refusal := f.all["b1"].Admit(t.Context(), "new", 1)
		require.Equal(t, protocol.CodeRateLimited, refusal.Code)
		require.Positive(t, refusal.RetryAfter)
		refusal = f.all["b1"].Admit(t.Context(), "none", 1)
		require.Equal(t, protocol.CodeForbidden, refusal.Code)
	})
}

// Guards against an answer that blames a caller for its rate while the tokens of its
// organisation can't be asked for.
func TestRejectionSaysWhetherTheRateIsExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		f.countAdmitted("b1", "o0", 60)
		require.Contains(t, f.all["b1"].Admit(t.Context(), "o0", 1).Message, "exceeds its rate")
		f.net.partitionDomains("a", "b")
		f.net.partitionDomains("b", "c")
		sleep(10 * time.Second)
		f.countAdmitted("b1", "o0", 60)
		require.Contains(t, f.all["b1"].Admit(t.Context(), "o0", 1).Message, "did not answer in time")
	})
}

func TestRejectionStatesRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		f.countAdmitted("b1", "o0", 60)
		refusal := f.all["b1"].Admit(t.Context(), "o0", 1)
		require.Equal(t, protocol.CodeRateLimited, refusal.Code)
		require.Equal(t, protocol.NotRun, refusal.Run)
		require.Greater(t, refusal.RetryAfter, 30*time.Millisecond)
		require.Less(t, refusal.RetryAfter, time.Second)
	})
}

// lateJournal has replayed no configuration until it arrives.
type lateJournal struct {
	*fakeJournal
	arrived bool
}

func (j *lateJournal) Fleet() *protocol.Fleet {
	if !j.arrived {
		return &protocol.Fleet{Version: protocol.NoOffset}
	}
	return j.fakeJournal.Fleet()
}

// Guards against an instance that refuses callers after a start or a change because its
// limiter applies the configuration later than the check of their keys.
func TestConfigurationCountsForTheLimiterAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		journal := &lateJournal{fakeJournal: newFakeJournal(f.log, "b2", "b", "host-b2")}
		l := New(Config{
			Self: "b2", Domain: "b", Address: "host-b2", Journal: journal,
			Peers:    &fakePeers{net: f.net, self: "b2", domain: "b"},
			Settings: testSettings(), Logger: log.NewNopLogger(),
		})
		f.net.limiters["b2"] = l
		l.reconcile()
		journal.arrived = true
		require.Nil(t, l.Admit(t.Context(), "o0", 1))
		require.Equal(t, protocol.CodeForbidden, l.Admit(t.Context(), "none", 1).Code)
	})
}
