package fleet

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

func change(id string, basedOn protocol.Offset, set ...protocol.FleetObject) *protocol.Record {
	return &protocol.Record{FleetChange: &protocol.FleetChange{ChangeID: id, BasedOn: basedOn, Set: set, Operator: "op"}}
}

func organisation(id protocol.OrganisationID) protocol.FleetObject {
	return protocol.FleetObject{Organisation: &protocol.Organisation{ID: id, Rate: 1, Burst: 1}}
}

func key(id protocol.KeyID, org protocol.OrganisationID, digit string) protocol.FleetObject {
	return protocol.FleetObject{Key: &protocol.Key{ID: id, Organisation: org, SHA256: strings.Repeat(digit, 64)}}
}

func withdraw(id protocol.KeyID) *protocol.Record {
	return &protocol.Record{KeyWithdraw: &protocol.KeyWithdraw{Key: id, Operator: "op"}}
}

// Two operators read the same version and publish different rates. The second
// must be told, or the first change would be undone without anyone knowing.
func TestSecondOfTwoRacingChangesConflicts(t *testing.T) {
	s := New()
	require.Equal(t, protocol.Accepted, s.Apply(5, change("a", protocol.NoOffset, organisation("o")), nil))
	require.Equal(t, protocol.Conflict, s.Apply(6, change("b", protocol.NoOffset, organisation("p")), nil))
	require.Equal(t, protocol.Conflict, s.Apply(7, change("c", 6, organisation("p")), nil), "based on a version that never was")
	require.Equal(t, protocol.Accepted, s.Apply(8, change("b2", 5, organisation("p")), nil))
	require.EqualValues(t, 8, s.Fleet().Version)
}

// A key is withdrawn while an operator prepares a change. The withdrawal needs
// no order, so the change isn't refused for it; nor does it revive the key.
func TestWithdrawalConflictsWithNoChangeAndStays(t *testing.T) {
	s := New()
	s.Apply(0, change("a", protocol.NoOffset, organisation("o"), key("k", "o", "1")), nil)
	require.Equal(t, protocol.Accepted, s.Apply(1, withdraw("k"), nil))
	require.EqualValues(t, 1, s.Fleet().Version)
	require.Equal(t, protocol.Accepted, s.Apply(2, change("b", 0, key("k", "o", "1")), nil))
	require.True(t, s.Fleet().Keys["k"].Withdrawn)
}

// The withdrawal overtakes the change that publishes the key. The key must not
// start to work when the change arrives.
func TestWithdrawalBeforeTheKeyIsKnown(t *testing.T) {
	s := New()
	require.Equal(t, protocol.Accepted, s.Apply(0, withdraw("k"), nil))
	require.Equal(t, protocol.Accepted, s.Apply(1, change("a", 0, organisation("o"), key("k", "o", "1")), nil))
	require.True(t, s.Fleet().Keys["k"].Withdrawn)
}

// A key id is used again for another secret, or another organisation. Its old
// withdrawal would hit the new key, or a caller would act for a stranger.
func TestKeyIDIsNeverReused(t *testing.T) {
	s := New()
	s.Apply(0, change("a", protocol.NoOffset, organisation("o"), organisation("p"), key("k", "o", "1")), nil)
	require.Equal(t, protocol.Malformed, s.Apply(1, change("b", 0, key("k", "o", "2")), nil))
	require.Equal(t, protocol.Malformed, s.Apply(2, change("c", 0, key("k", "p", "1")), nil))
	require.Equal(t, protocol.Malformed, s.Apply(3, change("d", 0, key("other", "p", "1")), nil), "one secret for two organisations")
}

// The answer to a change is lost and the tool sends it again. It is recognised,
// with the version that it made, also when others changed things meanwhile.
func TestResentChangeKeepsItsVersion(t *testing.T) {
	s := New()
	s.Apply(3, change("a", protocol.NoOffset, organisation("o")), nil)
	s.Apply(4, change("b", 3, organisation("p")), nil)
	require.Equal(t, protocol.Duplicate, s.Apply(5, change("a", protocol.NoOffset, organisation("o")), nil))
	version, known := s.VersionOf("a")
	require.True(t, known)
	require.EqualValues(t, 3, version)
}

// An organisation leaves while one of its keys still works. Its callers would
// run for nobody; once the key is withdrawn the organisation can go.
func TestRemovingAnOrganisationNeedsItsKeysWithdrawn(t *testing.T) {
	s := New()
	s.Apply(0, change("a", protocol.NoOffset, organisation("o"), key("k", "o", "1")), nil)
	remove := func(id string) *protocol.Record {
		rec := change(id, 0)
		rec.FleetChange.Remove = []protocol.FleetRef{{Organisation: "o"}}
		return rec
	}
	require.Equal(t, protocol.Malformed, s.Apply(1, remove("b"), nil))
	s.Apply(2, withdraw("k"), nil)
	require.Equal(t, protocol.Accepted, s.Apply(3, remove("c"), nil))
	require.Empty(t, s.Fleet().Organisations)
	require.True(t, s.Fleet().Keys["k"].Withdrawn)
	require.Equal(t, []string{"remove organisation o"}, s.History()[2].Objects)
}

func TestHistoryIsBounded(t *testing.T) {
	s := New()
	for i := range MaxHistory + 10 {
		rec := change(string(rune('a'+i%26))+time.Duration(i).String(), s.Fleet().Version, organisation("o"))
		require.Equal(t, protocol.Accepted, s.Apply(protocol.Offset(i), rec, nil))
	}
	require.Len(t, s.History(), MaxHistory)
	require.EqualValues(t, 10, s.History()[0].Version)
}

func TestValidateNamesObjectAndField(t *testing.T) {
	base := New().Fleet()
	service := func(edit func(*protocol.Service)) protocol.FleetObject {
		s := protocol.Service{Name: "s", Kind: protocol.KindModel}
		edit(&s)
		return protocol.FleetObject{Service: &s}
	}
	tenant := func(edit func(*protocol.Organisation)) protocol.FleetObject {
		o := *organisation("o").Organisation
		edit(&o)
		return protocol.FleetObject{Organisation: &o}
	}
	for want, object := range map[string]protocol.FleetObject{
		`organisation: id: missing`:                     organisation(""),
		`organisation "o": rate`:                        tenant(func(o *protocol.Organisation) { o.Rate = -1 }),
		`organisation "o": rate: NaN`:                   tenant(func(o *protocol.Organisation) { o.Rate = math.NaN() }),
		`organisation "o": burst`:                       tenant(func(o *protocol.Organisation) { o.Burst = 0.5 }),
		`organisation "o": weight`:                      tenant(func(o *protocol.Organisation) { o.Weight = -1 }),
		`organisation "o": objectives.target`:           tenant(func(o *protocol.Organisation) { o.Objectives.Target = 1 }),
		`organisation "o": objectives.batch_on_time`:    tenant(func(o *protocol.Organisation) { o.Objectives.BatchOnTime = 2 }),
		`organisation "o": objectives.first_token`:      tenant(func(o *protocol.Organisation) { o.Objectives.FirstToken = -1 }),
		`organisation "o": objectives.between_tokens`:   tenant(func(o *protocol.Organisation) { o.Objectives.BetweenTokens = -1 }),
		`key "k": organisation: unknown`:                key("k", "nobody", "1"),
		`key "k": organisation: missing`:                key("k", "", "1"),
		`key "k": sha256`:                               key("k", "o", "G"),
		`key: id: missing`:                              key("", "o", "1"),
		`model "m": service: unknown service "nowhere"`: {Model: &protocol.Model{Name: "m", Service: "nowhere"}},
		`model "m": service: missing`:                   {Model: &protocol.Model{Name: "m"}},
		`model: name: missing`:                          {Model: &protocol.Model{Service: "s"}},
		`service "s": kind`:                             service(func(s *protocol.Service) { s.Kind = "odd" }),
		`service "s": slots`:                            service(func(s *protocol.Service) { s.Slots = -1 }),
		`service "s": longest_order`:                    service(func(s *protocol.Service) { s.LongestOrder = -1 }),
		`service: name: missing`:                        service(func(s *protocol.Service) { s.Name = "" }),
		`domain "d": share`:                             {Domain: &protocol.DomainShare{Domain: "d", Share: -1}},
		`domain: domain: missing`:                       {Domain: &protocol.DomainShare{}},
		`set[0]: holds 0 objects`:                       {},
	} {
		err := Validate(base, change("x", protocol.NoOffset, object).FleetChange)
		require.ErrorContains(t, err, want)
	}
	require.ErrorContains(t, Validate(base, &protocol.FleetChange{}), "change_id: missing")
	require.NoError(t, Validate(base, change("x", protocol.NoOffset, organisation("o"), key("k", "o", "1")).FleetChange))
}
