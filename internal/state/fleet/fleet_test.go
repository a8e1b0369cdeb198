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

// Two operators read the same version and publish different changes. The second
// must get a conflict, or it would overwrite the first unnoticed.
func TestSecondOfTwoConcurrentChangesConflicts(t *testing.T) {
	s := New()
	require.Equal(t, protocol.Accepted, s.Apply(5, change("a", protocol.NoOffset, organisation("o")), nil))
	require.Equal(t, protocol.Conflict, s.Apply(6, change("b", protocol.NoOffset, organisation("p")), nil))
	require.Equal(t, protocol.Conflict, s.Apply(7, change("c", 6, organisation("p")), nil), "based on a version that does not exist")
	require.Equal(t, protocol.Accepted, s.Apply(8, change("b2", 5, organisation("p")), nil))
	require.EqualValues(t, 8, s.Fleet().Version)
}

// A key is withdrawn while an operator prepares a change. Withdrawals commute with
// changes, so the change must be accepted, but it must not undo the withdrawal.
func TestWithdrawalConflictsWithNoChangeAndPersists(t *testing.T) {
	s := New()
	s.Apply(0, change("a", protocol.NoOffset, organisation("o"), key("k", "o", "1")), nil)
	require.Equal(t, protocol.Accepted, s.Apply(1, withdraw("k"), nil))
	require.EqualValues(t, 1, s.Fleet().Version)
	require.Equal(t, protocol.Accepted, s.Apply(2, change("b", 0, key("k", "o", "1")), nil))
	require.True(t, s.Fleet().Keys["k"].Withdrawn)
}

// The withdrawal of a key precedes the change that publishes the key. The key must
// not become valid with that change.
func TestWithdrawalBeforeTheKeyIsKnown(t *testing.T) {
	s := New()
	require.Equal(t, protocol.Accepted, s.Apply(0, withdraw("k"), nil))
	require.Equal(t, protocol.Accepted, s.Apply(1, change("a", 0, organisation("o"), key("k", "o", "1")), nil))
	require.True(t, s.Fleet().Keys["k"].Withdrawn)
}

// A key id is reused for another secret or another organisation. A withdrawal of
// the old key would then affect the new one, or a caller would act on behalf of
// another organisation.
func TestKeyIDIsNeverReused(t *testing.T) {
	s := New()
	s.Apply(0, change("a", protocol.NoOffset, organisation("o"), organisation("p"), key("k", "o", "1")), nil)
	require.Equal(t, protocol.Malformed, s.Apply(1, change("b", 0, key("k", "o", "2")), nil))
	require.Equal(t, protocol.Malformed, s.Apply(2, change("c", 0, key("k", "p", "1")), nil))
	require.Equal(t, protocol.Malformed, s.Apply(3, change("d", 0, key("other", "p", "1")), nil), "one secret for two organisations")
}

// The response to a change is lost and the tool sends the change again. The change
// must be recognised and return the version that it created, even if other
// changes followed.
func TestResentChangeKeepsItsVersion(t *testing.T) {
	s := New()
	s.Apply(3, change("a", protocol.NoOffset, organisation("o")), nil)
	s.Apply(4, change("b", 3, organisation("p")), nil)
	require.Equal(t, protocol.Duplicate, s.Apply(5, change("a", protocol.NoOffset, organisation("o")), nil))
	version, known := s.VersionOf("a")
	require.True(t, known)
	require.EqualValues(t, 3, version)
}

// An organisation is removed while one of its keys is still valid. Calls with that
// key would belong to no organisation, so the removal must be rejected until the
// key is withdrawn.
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
	org := func(edit func(*protocol.Organisation)) protocol.FleetObject {
		o := *organisation("o").Organisation
		edit(&o)
		return protocol.FleetObject{Organisation: &o}
	}
	for want, object := range map[string]protocol.FleetObject{
		`organisation: id: missing`:                     organisation(""),
		`organisation "o": rate`:                        org(func(o *protocol.Organisation) { o.Rate = -1 }),
		`organisation "o": rate: NaN`:                   org(func(o *protocol.Organisation) { o.Rate = math.NaN() }),
		`organisation "o": burst`:                       org(func(o *protocol.Organisation) { o.Burst = 0.5 }),
		`organisation "o": weight`:                      org(func(o *protocol.Organisation) { o.Weight = -1 }),
		`organisation "o": objectives.target`:           org(func(o *protocol.Organisation) { o.Objectives.Target = 1 }),
		`organisation "o": objectives.batch_on_time`:    org(func(o *protocol.Organisation) { o.Objectives.BatchOnTime = 2 }),
		`organisation "o": objectives.first_token`:      org(func(o *protocol.Organisation) { o.Objectives.FirstToken = -1 }),
		`organisation "o": objectives.between_tokens`:   org(func(o *protocol.Organisation) { o.Objectives.BetweenTokens = -1 }),
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
