package replica

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"merlintiller/internal/protocol"
)

const writers = 4

// action is one step of a random history.
type action struct {
	// Kind chooses the record, Writer who appends it, Subject and Value what
	// it is about. Stale makes the writer act on an outdated view.
	Kind    int
	Writer  int
	Subject int
	Value   int
	Stale   bool
}

func histories() *rapid.Generator[[]action] {
	one := rapid.Custom(func(t *rapid.T) action {
		return action{
			Kind:    rapid.IntRange(0, 14).Draw(t, "kind"),
			Writer:  rapid.IntRange(0, writers-1).Draw(t, "writer"),
			Subject: rapid.IntRange(0, 3).Draw(t, "subject"),
			Value:   rapid.IntRange(0, 3).Draw(t, "value"),
			Stale:   rapid.IntRange(0, 4).Draw(t, "stale") == 0,
		}
	})
	return rapid.SliceOfN(one, 1, 150)
}

// rules applies a frame; broken variants replace the true ones.
type rules func(*State, protocol.Offset, protocol.Frame) []protocol.Verdict

func trueRules(s *State, at protocol.Offset, frame protocol.Frame) []protocol.Verdict {
	return s.Apply(at, frame)
}

// history plays actions and collects violations of what must always hold.
type history struct {
	rules      rules
	state      *State
	sessions   [writers]protocol.SessionID
	seqs       [writers]uint64
	opened     uint64
	frames     []protocol.Frame
	fences     map[protocol.Resource]protocol.Offset
	withdrawn  map[protocol.KeyID]bool
	hashes     map[protocol.KeyID]string
	given      []givenFleet
	lastChange protocol.Offset
	violations []string
}

// givenFleet is a configuration that was handed out, as it looked then.
type givenFleet struct {
	fleet *protocol.Fleet
	bytes []byte
}

func play(actions []action, rules rules) *history {
	h := &history{
		rules:     rules,
		state:     New(),
		fences:    map[protocol.Resource]protocol.Offset{},
		withdrawn: map[protocol.KeyID]bool{},
		hashes:    map[protocol.KeyID]string{},

		lastChange: protocol.NoOffset,
	}
	for _, a := range actions {
		h.act(a)
	}
	return h
}

func (h *history) violate(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *history) act(a action) {
	if a.Kind == 0 && len(h.frames) > 0 {
		h.copyOld(a)
		return
	}
	h.append(protocol.Frame{Records: []protocol.Record{h.record(a)}})
}

// append sends a frame through its encoding, as the log does, and applies it.
func (h *history) append(frame protocol.Frame) {
	payload, err := protocol.EncodeFrame(frame)
	if err != nil {
		panic(err)
	}
	decoded, err := protocol.DecodeFrame(payload)
	if err != nil {
		panic(err)
	}
	h.frames = append(h.frames, decoded)
	at := h.state.Applied() + 1
	verdicts := h.rules(h.state, at, decoded)
	h.checkChange(at, &decoded.Records[0], verdicts[0])
	h.check()
}

// checkChange: no change is accepted whose writer had not seen the one before.
func (h *history) checkChange(at protocol.Offset, rec *protocol.Record, verdict protocol.Verdict) {
	if rec.FleetChange == nil || verdict != protocol.Accepted {
		return
	}
	if rec.FleetChange.BasedOn < h.lastChange {
		h.violate("a change undid one that its operator had not seen")
	}
	h.lastChange = at
}

// copyOld lets a copy of an earlier frame arrive late. It must change nothing.
func (h *history) copyOld(a action) {
	frame := h.frames[(a.Writer*7+a.Subject*3+a.Value)%len(h.frames)]
	before := h.content()
	h.frames = append(h.frames, frame)
	h.rules(h.state, h.state.Applied()+1, frame)
	if !bytes.Equal(before, h.content()) {
		h.violate("a late copy of %s had an effect", frame.Records[0].Kind())
	}
	h.check()
}

// content is the state without its position and its digest of verdicts.
func (h *history) content() []byte {
	applied, digest := h.state.applied, h.state.digest
	h.state.applied, h.state.digest = 0, 0
	data, err := h.state.Snapshot()
	h.state.applied, h.state.digest = applied, digest
	if err != nil {
		panic(err)
	}
	return data
}

func (h *history) id(writer int) protocol.RecordID {
	h.seqs[writer]++
	return protocol.RecordID{Session: h.sessions[writer], Seq: h.seqs[writer]}
}

func (h *history) record(a action) protocol.Record {
	if h.sessions[a.Writer] == 0 || a.Kind == 1 {
		return h.openRecord(a)
	}
	rec := protocol.Record{ID: h.id(a.Writer)}
	at := h.state.Applied() + 1
	switch a.Kind {
	case 2, 3:
		rec.SessionRenew = &protocol.SessionRenew{}
	case 4:
		rec.SessionExpire = h.expiry(a)
	case 5:
		rec.SessionClose = &protocol.SessionClose{}
	case 6, 7:
		rec.LeaseClaim = h.claim(a)
	case 8:
		rec.LeaseRelease = &protocol.LeaseRelease{Resource: resourceOf(a.Subject)}
	case 9, 10:
		rec.FleetChange = h.change(a, at)
	case 11:
		rec.KeyWithdraw = &protocol.KeyWithdraw{Key: keyOf(a.Subject)}
	case 12:
		rec.JobSubmit = jobOf(a)
	case 13:
		rec.ChunkClaim = &protocol.ChunkClaim{Job: jobID(a.Subject), Chunks: []int{a.Value}}
	default:
		rec.CallReserve = &protocol.CallReserve{
			Call: protocol.CallKey{Organisation: "o", Key: fmt.Sprint(a.Subject)},
			ID:   protocol.CallID(fmt.Sprint("call-", at)),
			At:   time.Unix(int64(at), 0).UTC(),
		}
	}
	return rec
}

func (h *history) openRecord(a action) protocol.Record {
	h.opened++
	h.sessions[a.Writer] = protocol.SessionID(h.opened)
	h.seqs[a.Writer] = 0
	return protocol.Record{ID: h.id(a.Writer), SessionOpen: &protocol.SessionOpen{
		Instance: protocol.InstanceID(fmt.Sprint("i", a.Writer)),
	}}
}

func (h *history) expiry(a action) *protocol.SessionExpire {
	subject := h.sessions[a.Subject%writers]
	info, _ := h.state.Sessions.Get(subject)
	last := info.LastRenewal
	if a.Stale {
		last--
	}
	return &protocol.SessionExpire{Session: subject, LastRenewal: last}
}

func (h *history) claim(a action) *protocol.LeaseClaim {
	last, _ := h.state.Leases.Last(resourceOf(a.Subject))
	replaces := last.Fence
	if a.Stale {
		replaces--
	}
	return &protocol.LeaseClaim{Resource: resourceOf(a.Subject), Replaces: replaces}
}

func (h *history) change(a action, at protocol.Offset) *protocol.FleetChange {
	base := h.state.Fleet.Fleet().Version
	if a.Stale {
		base -= protocol.Offset(1 + a.Value)
	}
	change := &protocol.FleetChange{
		ChangeID: fmt.Sprint("change-", at),
		BasedOn:  base,
		Set:      []protocol.FleetObject{{Organisation: &protocol.Organisation{ID: "o", Rate: float64(a.Value), Burst: 1}}},
		At:       time.Unix(int64(at), 0).UTC(),
	}
	if a.Subject > 0 {
		hash := fmt.Sprintf("%064x", a.Subject*10+a.Value%2)
		key := &protocol.Key{ID: keyOf(a.Subject), Organisation: "o", SHA256: hash}
		change.Set = append(change.Set, protocol.FleetObject{Key: key})
	}
	return change
}

func resourceOf(n int) protocol.Resource { return protocol.Resource(fmt.Sprint("r", n)) }
func keyOf(n int) protocol.KeyID         { return protocol.KeyID(fmt.Sprint("k", n)) }
func jobID(n int) protocol.JobID         { return protocol.JobID(fmt.Sprint("job", n)) }

func jobOf(a action) *protocol.JobSubmit {
	return &protocol.JobSubmit{
		Job:            jobID(a.Subject),
		Organisation:   "o",
		IdempotencyKey: fmt.Sprint(a.Value),
		Endpoint:       "/v1/chat/completions",
		Chunks:         []protocol.ChunkRef{{Offset: 1, Items: 2}, {Offset: 2, Items: 1}},
		Created:        time.Unix(1, 0).UTC(),
		Deadline:       time.Unix(100, 0).UTC(),
	}
}

func (h *history) check() {
	h.checkLeases()
	h.checkFleet()
}

// checkLeases: a holder's session is open, and fencing numbers only grow.
func (h *history) checkLeases() {
	for n := range 4 {
		resource := resourceOf(n)
		session, fence, held := h.state.Leases.Holder(resource)
		if !held {
			continue
		}
		if !h.state.Sessions.Open(session) {
			h.violate("%s is held by a session that has ended", resource)
		}
		if fence < h.fences[resource] {
			h.violate("the fencing number of %s went back", resource)
		}
		h.fences[resource] = fence
	}
}

// checkFleet: versions only grow, a withdrawn key stays so, an id keeps its
// secret, and what was handed out is never changed.
func (h *history) checkFleet() {
	fleet := h.state.Fleet.Fleet()
	if len(h.given) > 0 && fleet.Version < h.given[len(h.given)-1].fleet.Version {
		h.violate("configuration went back")
	}
	for id, key := range fleet.Keys {
		if h.withdrawn[id] && !key.Withdrawn {
			h.violate("key %s was revived", id)
		}
		if h.hashes[id] != "" && h.hashes[id] != key.SHA256 {
			h.violate("key %s changed its secret", id)
		}
		h.withdrawn[id] = key.Withdrawn
		h.hashes[id] = key.SHA256
	}
	data, _ := protocol.Marshal(fleet)
	h.given = append(h.given, givenFleet{fleet: fleet, bytes: data})
}

// checkGiven looks again at every configuration that was handed out.
func (h *history) checkGiven() {
	for _, given := range h.given {
		data, _ := protocol.Marshal(given.fleet)
		if !bytes.Equal(given.bytes, data) {
			h.violate("a configuration that was handed out changed")
			return
		}
	}
}

// Several instances append to one log in any order, act on outdated views, and
// copies of their frames arrive late. If any of it had an effect twice, or took
// back what was agreed, two engineers would be sent to one leak.
func TestAnyInterleavingKeepsWhatMustHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := play(histories().Draw(t, "history"), trueRules)
		h.checkGiven()
		require.Empty(t, h.violations)
	})
}

// An instance starts from a snapshot and replays the rest, while another has
// replayed everything from the start. If their states differed by one byte,
// they would decide some later record differently.
func TestReplayFromAnySnapshotEqualsReplayFromTheStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := play(histories().Draw(t, "history"), trueRules)
		cut := rapid.IntRange(0, len(h.frames)).Draw(t, "cut")
		state := New()
		for at, frame := range h.frames {
			if at == cut {
				state = restored(t, state)
			}
			state.Apply(protocol.Offset(at), frame)
		}
		want, err := h.state.Snapshot()
		require.NoError(t, err)
		got, err := state.Snapshot()
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}

func restored(t require.TestingT, state *State) *State {
	data, err := state.Snapshot()
	require.NoError(t, err)
	back, err := Restore(data)
	require.NoError(t, err)
	return back
}

// withoutDuplicateCheck gives every record a number that was not seen yet.
func withoutDuplicateCheck(s *State, at protocol.Offset, frame protocol.Frame) []protocol.Verdict {
	frame = renumbered(frame, func(rec *protocol.Record) {
		info, _ := s.Sessions.Get(rec.ID.Session)
		rec.ID.Seq = info.Seq + 1
	})
	return s.Apply(at, frame)
}

// withoutBasedOnCheck makes every change look as if made from what is in force.
func withoutBasedOnCheck(s *State, at protocol.Offset, frame protocol.Frame) []protocol.Verdict {
	frame = renumbered(frame, func(rec *protocol.Record) {
		if rec.FleetChange != nil {
			change := *rec.FleetChange
			change.ChangeID = fmt.Sprint(at)
			change.BasedOn = s.Fleet.Fleet().Version
			rec.FleetChange = &change
			rec.ID.Seq += 1 << 32
		}
	})
	return s.Apply(at, frame)
}

func renumbered(frame protocol.Frame, change func(*protocol.Record)) protocol.Frame {
	records := append([]protocol.Record{}, frame.Records...)
	for i := range records {
		change(&records[i])
	}
	return protocol.Frame{Records: records}
}

// Replay without one of its checks must be found out by the same histories.
func TestBrokenRulesAreFoundByTheHistories(t *testing.T) {
	for name, broken := range map[string]rules{
		"no duplicate check": withoutDuplicateCheck,
		"no based-on check":  withoutBasedOnCheck,
	} {
		t.Run(name, func(t *testing.T) {
			found := 0
			for seed := range 100 {
				found += len(play(histories().Example(seed), broken).violations)
			}
			require.NotZero(t, found)
		})
	}
}
