package limiter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

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
	f.configure("a1", domains("a", "b", "c"), orgs...)
	pass(10*time.Second + 300*time.Millisecond)
	return f
}

// All callers of an organisation gather at one instance. It holds only a few
// of the organisation's slots, and a user would see refusals inside the rate
// if the tokens of the other instances stayed where they are.
func TestCallersAtOneInstanceGetTheWholeBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		require.Equal(t, 30, f.admitted("a1", "o0", 60))
	})
}

// A failure domain is cut off from the others. Its callers get the domain's
// part, at once and without waiting for the other domains' answers each time.
func TestCutDomainServesItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		f.net.cutDomains("a", "b")
		f.net.cutDomains("a", "c")
		require.Equal(t, 10, f.admitted("a1", "o0", 60))
	})
}

// An operator adds an organisation, and its first call comes in the same
// instant. A refusal for good would make its client give up, although the
// organisation is configured; it is told to come back.
func TestOrganisationConfiguredJustNowIsToldToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		f.configure("a1", domains("a", "b", "c"), protocol.Organisation{ID: "new", Rate: 30, Burst: 30})
		refusal := f.all["b1"].Admit(t.Context(), "new", 1)
		require.Equal(t, protocol.CodeRateLimited, refusal.Code)
		require.Positive(t, refusal.RetryAfter)
		refusal = f.all["b1"].Admit(t.Context(), "none", 1)
		require.Equal(t, protocol.CodeForbidden, refusal.Code)
	})
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		f.admitted("b1", "o0", 60)
		refusal := f.all["b1"].Admit(t.Context(), "o0", 1)
		require.Equal(t, protocol.CodeRateLimited, refusal.Code)
		require.Equal(t, protocol.NotRun, refusal.Run)
		require.Greater(t, refusal.RetryAfter, 30*time.Millisecond)
		require.Less(t, refusal.RetryAfter, time.Second)
	})
}
