package fleetdir

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/fleet"
	"merlintiller/internal/strictyaml"
)

const hash = "aa00000000000000000000000000000000000000000000000000000000000000"

func sources(pairs ...string) []Source {
	var out []Source
	for i := 0; i < len(pairs); i += 2 {
		out = append(out, Source{Name: pairs[i], Data: []byte(pairs[i+1])})
	}
	return out
}

func TestLaterFileReplacesEarlierObject(t *testing.T) {
	objects, err := Merge(sources(
		"90-tonight.yaml", "organisations: [{id: ana, rate: 9, burst: 9}]",
		"10-usual.yaml", "organisations: [{id: ana, rate: 1, burst: 2, weight: 3}, {id: bob, rate: 1, burst: 1}]",
	))
	require.NoError(t, err)
	require.Equal(t, protocol.Organisation{ID: "ana", Rate: 9, Burst: 9}, objects.Organisations["ana"])
	require.Len(t, objects.Organisations, 2)
}

// An operator makes a mistake in one of many small files. If the rest were published,
// callers could be rejected or a rate be unlimited. The complete folder is rejected
// and the error names file, line and field.
func TestMistakesNameFileLineAndField(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"unknown field":   {"organisations:\n  - id: ana\n    rate: 1\n    brust: 2\n", "a.yaml:4: organisations[0].brust: unknown field; did you mean burst?"},
		"unknown list":    {"organizations: []\n", "a.yaml:1: organizations: unknown field; did you mean organisations?"},
		"duplicate":       {"organisations:\n  - {id: ana, rate: 1, burst: 1}\n  - {id: ana, rate: 2, burst: 1}\n", "a.yaml:3: organisations[1].id: \"ana\" is a duplicate in this file"},
		"no id":           {"organisations: [{rate: 1, burst: 1}]\n", "a.yaml:1: organisations[0].id: is missing"},
		"bad id":          {"organisations: [{id: Ana B, rate: 1, burst: 1}]\n", "organisations[0].id: \"Ana B\" must be lower-case"},
		"no rate":         {"organisations: [{id: ana, burst: 1}]\n", "organisations[0].rate: is missing or not above 0"},
		"not a number":    {"organisations: [{id: ana, rate: .nan, burst: 1}]\n", "organisations[0].rate: NaN must be between"},
		"burst below one": {"organisations: [{id: ana, rate: 1, burst: 0.5}]\n", "organisations[0].burst: 0.5 must be between 1"},
		"objective unit":  {"organisations:\n  - id: ana\n    rate: 1\n    burst: 1\n    objectives:\n      first_token: 2\n", "a.yaml:6: organisations[0].objectives.first_token: \"2\" must be a duration with a unit"},
		"objective of 1":  {"organisations: [{id: ana, rate: 1, burst: 1, objectives: {target: 1}}]\n", "objectives.target: 1 must be at least 0 and below 1"},
		"orphan key":      {"keys:\n  - {id: k1, organisation: ana, sha256: " + hash + "}\n", "a.yaml:2: keys[0].organisation: \"ana\" is not an organisation"},
		"secret for hash": {"keys: [{id: k1, organisation: ana, sha256: hunter2}]\n", "keys[0].sha256: must be the 64"},
		"secret for id":   {"keys: [{id: mt-hunter2-X, organisation: ana, sha256: " + hash + "}]\n", "keys[0].id: looks like a secret"},
		"orphan model":    {"models: [{name: m, service: s}]\n", "models[0].service: \"s\" is not a service"},
		"no kind":         {"services: [{name: s, slots: 1}]\n", "services[0].kind: is missing"},
		"bad kind":        {"services: [{name: s, kind: magic, slots: 1}]\n", "services[0].kind: \"magic\" must be model or plain"},
		"no slots":        {"services: [{name: s, kind: plain}]\n", "services[0].slots: 0 must be between 1"},
		"no order time":   {"services: [{name: s, kind: model, slots: 1}]\n", "services[0].longest_order: is missing"},
		"zero share":      {"domains: [{domain: d, share: 0}]\n", "domains[0].share: is missing or not above 0"},
		"empty file":      {"# nothing\n", "a.yaml: is empty"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Merge(sources("a.yaml", c.text))
			require.ErrorContains(t, err, c.want)
			require.NotContains(t, err.Error(), "hunter2")
		})
	}
}

func TestFolderWithOtherFilesIsRejected(t *testing.T) {
	dir := t.TempDir()
	_, err := Load(dir)
	require.ErrorContains(t, err, "contains no .yaml file")
	for name, text := range map[string]string{"a.yaml": "domains: []", "README.md": "x", ".swp": "x", "b.yml": "x"} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	_, err = Load(dir)
	require.ErrorContains(t, err, "b.yml: is not a .yaml file")
	require.Equal(t, 1, strings.Count(err.Error(), "\n")+1)
}

func TestDiffOfAppliedFolderIsEmpty(t *testing.T) {
	for _, name := range []string{"cascadia", "dobrescu"} {
		desired, err := Load("../../examples/" + name)
		require.NoError(t, err)
		require.Len(t, desired.Organisations, 10)
		require.Len(t, desired.Domains, 3)
		plan := Diff(&protocol.Fleet{Version: protocol.NoOffset}, desired)
		require.Len(t, plan.Change.Set, desired.Count())
		inForce := &protocol.Fleet{Organisations: desired.Organisations, Models: desired.Models, Services: desired.Services, Domains: desired.Domains}
		require.True(t, Diff(inForce, desired).Empty())
	}
}

// An operator applies a folder that is older than the withdrawal of a key, or that
// never contained the key. A stolen key that became valid again would admit its thief,
// and a removed key would lock callers out.
func TestDiffNeverRestoresOrRemovesKeys(t *testing.T) {
	current := &protocol.Fleet{Version: 7, Keys: map[protocol.KeyID]protocol.Key{
		"k1": {ID: "k1", Organisation: "ana", SHA256: hash, Withdrawn: true},
		"k2": {ID: "k2", Organisation: "ana", SHA256: hash},
		"k3": {ID: "k3", Organisation: "ana", SHA256: hash},
		"k4": {ID: "k4", Organisation: "ana", SHA256: hash},
	}, Organisations: map[protocol.OrganisationID]protocol.Organisation{"ana": {ID: "ana"}}}
	desired := Objects{Keys: map[protocol.KeyID]protocol.Key{
		"k1": {ID: "k1", Organisation: "ana", SHA256: hash},
		"k3": {ID: "k3", Organisation: "bob", SHA256: hash},
		"k4": {ID: "k4", Organisation: "ana", SHA256: hash, Withdrawn: true},
	}}
	plan := Diff(current, desired)
	require.Equal(t, protocol.Offset(7), plan.Change.BasedOn)
	require.Len(t, plan.Change.Set, 1)
	require.Equal(t, protocol.KeyID("k4"), plan.Change.Set[0].Key.ID)
	require.Empty(t, plan.Change.Remove)
	require.Len(t, plan.Notes, 3)
	require.Contains(t, plan.Notes[2], "2 of its keys are in use")
}

func TestOrganisationWithoutKeysInUseIsRemoved(t *testing.T) {
	current := &protocol.Fleet{
		Keys:          map[protocol.KeyID]protocol.Key{"k1": {ID: "k1", Organisation: "ana", SHA256: hash, Withdrawn: true}},
		Organisations: map[protocol.OrganisationID]protocol.Organisation{"ana": {ID: "ana"}},
	}
	plan := Diff(current, Objects{})
	require.Equal(t, []protocol.FleetRef{{Organisation: "ana"}}, plan.Change.Remove)
	require.Empty(t, plan.Notes)
}

// A change that passes the check of the folder but not that of replay would be
// published without effect. The changes that publish the two examples pass the check
// of replay.
func TestDiffPassesReplayValidation(t *testing.T) {
	for _, name := range []string{"cascadia", "dobrescu"} {
		desired, err := Load("../../examples/" + name)
		require.NoError(t, err)
		base := fleet.New().Fleet()
		plan := Diff(base, desired)
		plan.Change.ChangeID = "chg-1"
		require.NoError(t, fleet.Validate(base, &plan.Change))
	}
}

// A fleet of 3,400 organisations is published for the first time. As one change it
// would not fit into a log entry and could not be published.
func TestLargeChangeIsPublishedInPartsThatAreEachValid(t *testing.T) {
	desired := Objects{
		Organisations: map[protocol.OrganisationID]protocol.Organisation{},
		Keys:          map[protocol.KeyID]protocol.Key{},
	}
	for i := range 3400 {
		org := protocol.OrganisationID(fmt.Sprintf("organisation-%04d", i))
		desired.Organisations[org] = protocol.Organisation{ID: org, Name: "Organisation of some length", Rate: 10, Burst: 30, Weight: 1,
			Objectives: protocol.Objectives{FirstToken: time.Second, BetweenTokens: time.Millisecond, Target: 0.95, BatchOnTime: 0.99}}
		for k := range 2 {
			id := protocol.KeyID(fmt.Sprintf("key-%08d-%d", i, k))
			desired.Keys[id] = protocol.Key{ID: id, Organisation: org, SHA256: fmt.Sprintf("%062d%02d", i, k)}
		}
	}
	store := fleet.New()
	plan := Diff(store.Fleet(), desired)
	parts := Split(plan.Change)
	require.Len(t, parts, 3)
	for i, part := range parts {
		part.ChangeID, part.BasedOn = fmt.Sprint(i), store.Fleet().Version
		record := protocol.Record{FleetChange: &part}
		_, err := protocol.EncodeFrame(protocol.Frame{Records: []protocol.Record{record}})
		require.NoError(t, err)
		require.NoError(t, fleet.Validate(store.Fleet(), &part))
		require.Equal(t, protocol.Accepted, store.Apply(protocol.Offset(i), &record, nil))
	}
	require.True(t, Diff(store.Fleet(), desired).Empty())
}

func TestSmallChangeIsOnePart(t *testing.T) {
	change := protocol.FleetChange{BasedOn: 4, Remove: []protocol.FleetRef{{Organisation: "ana"}}}
	require.Equal(t, []protocol.FleetChange{change}, Split(change))
}

func FuzzMerge(f *testing.F) {
	f.Add([]byte("organisations: [{id: ana, rate: 1, burst: 1}]"))
	f.Add([]byte("services: [{name: s, kind: model, slots: 1, longest_order: 1s}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		objects, err := Merge(sources("a.yaml", string(data)))
		if err != nil {
			var problems strictyaml.Problems
			require.True(t, errors.As(err, &problems))
			return
		}
		for _, org := range objects.Organisations {
			require.Greater(t, org.Rate, 0.0)
			require.GreaterOrEqual(t, org.Burst, 1.0)
		}
	})
}
