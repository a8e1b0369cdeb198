package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var viewStart = time.Unix(1_000, 0)

func instance(domain string, n int) Instance {
	name := fmt.Sprintf("%s-%d", domain, n)
	return Instance{Name: name, Domain: domain, Address: name + ":1", Start: 1}
}

func heard(v *View, now time.Time, i Instance, seq uint64) bool {
	return v.Heard(now, Heartbeat{From: i, Seq: seq})
}

func stateOf(t *testing.T, v *View, now time.Time, i Instance) State {
	t.Helper()
	for _, p := range v.Peers(now) {
		if p.Name == i.Name {
			return p.State
		}
	}
	require.Fail(t, "not known", i.Name)
	return Unheard
}

func TestStatesFollowWhatIsHeard(t *testing.T) {
	v := NewView(instance("a", 0), ForgetAfter)
	other := instance("a", 1)
	v.Listed(viewStart, []Instance{other})
	require.Equal(t, Unheard, stateOf(t, v, viewStart, other))
	require.True(t, heard(v, viewStart, other, 1))
	require.Equal(t, Up, stateOf(t, v, viewStart, other))
	require.Equal(t, Silent, stateOf(t, v, viewStart.Add(SilentAfter+time.Millisecond), other))
	v.Refused(viewStart, other.Address)
	require.Equal(t, Down, stateOf(t, v, viewStart, other))
	again := other
	again.Start++
	v.Listed(viewStart, []Instance{again})
	require.NotEqual(t, Down, stateOf(t, v, viewStart, other), "a later life is another process")
	require.Len(t, v.Forget(viewStart.Add(ForgetAfter+time.Millisecond)), 1)
	require.Empty(t, v.Peers(viewStart))
}

// Two messages of an instance overtake each other on different connections, or
// one of a life that has ended comes late. Taken over, it would bring back what
// is not true any more.
func TestOlderMessagesAreNotTakenOver(t *testing.T) {
	v := NewView(instance("a", 0), ForgetAfter)
	other := instance("a", 1)
	require.True(t, heard(v, viewStart, other, 2))
	require.False(t, heard(v, viewStart, other, 1))
	later := other
	later.Start++
	require.True(t, heard(v, viewStart, later, 1))
	require.False(t, heard(v, viewStart, other, 3))
}

// The path to a failure domain is cut. In a large fleet each instance is heard
// so seldom that its own silence shows only after a second or two; until then
// requests would go to the domain's targets and wait in vain.
func TestSilentDomainShowsBeforeItsInstancesDo(t *testing.T) {
	const perDomain = 30
	v := NewView(instance("a", 0), ForgetAfter)
	for n := 1; n < perDomain; n++ {
		heard(v, viewStart, instance("a", n), 1)
		heard(v, viewStart, instance("b", n), 1)
	}
	now := viewStart.Add(SilentAfter + time.Millisecond)
	heard(v, now, instance("a", 1), 2)
	require.Equal(t, Up, stateOf(t, v, now, instance("b", 1)))
	require.True(t, v.SilentDomains(now)["b"])
	heard(v, now, instance("b", 1), 2)
	require.False(t, v.SilentDomains(now)["b"])
}

// An instance that hears nobody is cut off itself. If it took all domains for
// silent, it would leave targets that it may reach as well as ever.
func TestNoDomainIsSilentForOneThatHearsNobody(t *testing.T) {
	v := NewView(instance("a", 0), ForgetAfter)
	heard(v, viewStart, instance("a", 1), 1)
	heard(v, viewStart, instance("b", 1), 1)
	require.False(t, v.SilentDomains(viewStart.Add(time.Minute))["b"])
}

// Partitions are dealt anew while the old holder is cut off. Both say that they
// hold one; a call that went to the old holder would get old results.
func TestHolderIsTheOneWithTheLatestGeneration(t *testing.T) {
	v := NewView(instance("a", 0), ForgetAfter)
	v.Heard(viewStart, Heartbeat{From: instance("a", 1), Seq: 1, Partitions: []int{3}, Generation: 7})
	v.Heard(viewStart, Heartbeat{From: instance("a", 2), Seq: 1, Partitions: []int{3}, Generation: 8})
	holder, ok := v.Holder(viewStart, 3)
	require.True(t, ok)
	require.Equal(t, instance("a", 2).Name, holder.Name)
	_, ok = v.Holder(viewStart, 4)
	require.False(t, ok)
}

// A cut between failure domains resets connections. Each refusal looks as if a process
// were gone; were all of them believed, both sides would use the whole of each rate,
// and organisations would get twice as much as they may.
func TestDomainThatRefusesAltogetherIsCutOff(t *testing.T) {
	v := NewView(instance("a", 0), ForgetAfter)
	near, one, two := instance("a", 1), instance("b", 0), instance("b", 1)
	for _, i := range []Instance{near, one, two} {
		heard(v, viewStart, i, 1)
	}
	v.Refused(viewStart, one.Address)
	require.Equal(t, Down, stateOf(t, v, viewStart, one), "another one of its domain is heard")
	require.False(t, v.CutOff(viewStart))

	v.Refused(viewStart, two.Address)
	require.Equal(t, Silent, stateOf(t, v, viewStart, one))
	require.Equal(t, Silent, stateOf(t, v, viewStart, two))
	require.Equal(t, map[string]bool{"b": true}, v.SilentDomains(viewStart))
	require.True(t, v.CutOff(viewStart))
	v.Refused(viewStart, near.Address)
	require.Equal(t, Down, stateOf(t, v, viewStart, near))

	heard(v, viewStart, two, 2)
	require.Equal(t, Up, stateOf(t, v, viewStart, two))
	require.Equal(t, Down, stateOf(t, v, viewStart, one))
	require.False(t, v.CutOff(viewStart))
}

// The last instance that is heard of the others falls silent without a refusal.
func TestCutOffWhenNoOtherDomainIsHeard(t *testing.T) {
	v := NewView(instance("a", 0), ForgetAfter)
	require.False(t, v.CutOff(viewStart), "no other domain is known")
	heard(v, viewStart, instance("a", 1), 1)
	v.Listed(viewStart, []Instance{instance("b", 0)})
	require.False(t, v.CutOff(viewStart), "nobody was heard yet")
	heard(v, viewStart, instance("b", 0), 1)
	require.False(t, v.CutOff(viewStart.Add(SilentAfter)))
	require.True(t, v.CutOff(viewStart.Add(SilentAfter+time.Millisecond)))
}
