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

const writerCount = 4

// action is a step of a random history.
type action struct {
	// Kind selects the type of the record, Writer the instance that appends it,
	// and Subject and Value its content. Stale makes the writer act on an
	// outdated view of the state.
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
			Writer:  rapid.IntRange(0, writerCount-1).Draw(t, "writer"),
			Subject: rapid.IntRange(0, 3).Draw(t, "subject"),
			Value:   rapid.IntRange(0, 3).Draw(t, "value"),
			Stale:   rapid.IntRange(0, 4).Draw(t, "stale") == 0,
		}
	})
	return rapid.SliceOfN(one, 1, 150)
}

// applyFunc applies a frame to a state. Faulty variants replace correctApply to
// show that the checks detect them.
type applyFunc func(*State, protocol.Offset, protocol.Frame) []protocol.Verdict

func correctApply(s *State, at protocol.Offset, frame protocol.Frame) []protocol.Verdict {
	return s.Apply(at, frame)
}

// history executes actions and collects violations of the invariants.
type history struct {
	applyFrame applyFunc
	state      *State
	sessions   [writerCount]protocol.SessionID
	seqs       [writerCount]uint64
	opened     uint64
	frames     []protocol.Frame
	fences     map[protocol.Resource]protocol.Offset
	withdrawn  map[protocol.KeyID]bool
	hashes     map[protocol.KeyID]string
	returned   []returnedFleet
	lastChange protocol.Offset
	violations []string
}

// returnedFleet is a configuration that Fleet returned, with its encoding at
// that time.
type returnedFleet struct {
	fleet *protocol.Fleet
	bytes []byte
}

func play(actions []action, apply applyFunc) *history {
	h := &history{
		applyFrame: apply,
		state:      New(),
		fences:     map[protocol.Resource]protocol.Offset{},
		withdrawn:  map[protocol.KeyID]bool{},
		hashes:     map[protocol.KeyID]string{},

		lastChange: protocol.NoOffset,
	}
	for _, a := range actions {
		h.step(a)
	}
	return h
}

func (h *history) violate(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *history) step(a action) {
	if a.Kind == 0 && len(h.frames) > 0 {
		h.repeatOldFrame(a)
		return
	}
	h.append(protocol.Frame{Records: []protocol.Record{h.record(a)}})
}

// append encodes and decodes a frame, as the log does, and applies it.
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
	verdicts := h.applyFrame(h.state, at, decoded)
	h.checkChange(at, &decoded.Records[0], verdicts[0])
	h.check()
}

// checkChange checks that a change is accepted only if it is based on the last
// accepted change or a later version.
func (h *history) checkChange(at protocol.Offset, rec *protocol.Record, verdict protocol.Verdict) {
	if rec.FleetChange == nil || verdict != protocol.Accepted {
		return
	}
	if rec.FleetChange.BasedOn < h.lastChange {
		h.violate("a change overwrote a change that its operator had not seen")
	}
	h.lastChange = at
}

// repeatOldFrame applies a late copy of an earlier frame, which must have no
// effect.
func (h *history) repeatOldFrame(a action) {
	frame := h.frames[(a.Writer*7+a.Subject*3+a.Value)%len(h.frames)]
	before := h.encodedContent()
	h.frames = append(h.frames, frame)
	h.applyFrame(h.state, h.state.Applied()+1, frame)
	if !bytes.Equal(before, h.encodedContent()) {
		h.violate("a late copy of %s had an effect", frame.Records[0].Kind())
	}
	h.check()
}

// encodedContent returns the encoded state with its offset and its digest of
// verdicts set to zero.
func (h *history) encodedContent() []byte {
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
	subject := h.sessions[a.Subject%writerCount]
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

// checkLeases checks that the session of each lease holder is open and that
// fencing numbers never decrease.
func (h *history) checkLeases() {
	for n := range 4 {
		resource := resourceOf(n)
		session, fence, held := h.state.Leases.Holder(resource)
		if !held {
			continue
		}
		if !h.state.Sessions.Open(session) {
			h.violate("the session that holds %s has ended", resource)
		}
		if fence < h.fences[resource] {
			h.violate("the fencing number of %s decreased", resource)
		}
		h.fences[resource] = fence
	}
}

// checkFleet checks that versions never decrease, a withdrawn key stays withdrawn
// and a key id keeps its secret. It also stores the configuration for
// checkReturned.
func (h *history) checkFleet() {
	fleet := h.state.Fleet.Fleet()
	if len(h.returned) > 0 && fleet.Version < h.returned[len(h.returned)-1].fleet.Version {
		h.violate("the configuration version decreased")
	}
	for id, key := range fleet.Keys {
		if h.withdrawn[id] && !key.Withdrawn {
			h.violate("the withdrawal of key %s was undone", id)
		}
		if h.hashes[id] != "" && h.hashes[id] != key.SHA256 {
			h.violate("key %s changed its secret", id)
		}
		h.withdrawn[id] = key.Withdrawn
		h.hashes[id] = key.SHA256
	}
	data, _ := protocol.Marshal(fleet)
	h.returned = append(h.returned, returnedFleet{fleet: fleet, bytes: data})
}

// checkReturned checks that no configuration was modified after Fleet had
// returned it.
func (h *history) checkReturned() {
	for _, earlier := range h.returned {
		data, _ := protocol.Marshal(earlier.fleet)
		if !bytes.Equal(earlier.bytes, data) {
			h.violate("a configuration was modified after Fleet had returned it")
			return
		}
	}
}

// Several instances append to one log in any order and act on outdated views, and
// copies of their frames arrive late. If a record took effect twice or undid an
// earlier decision, a call that must run at most once could run twice and, for
// example, send two engineers to the same leak.
func TestAnyInterleavingKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := play(histories().Draw(t, "history"), correctApply)
		h.checkReturned()
		require.Empty(t, h.violations)
	})
}

// An instance starts from a snapshot and replays the remaining entries, while
// another has replayed all entries. If their states differed by one byte, they
// could decide differently on a later record.
func TestReplayFromAnySnapshotEqualsReplayFromTheStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := play(histories().Draw(t, "history"), correctApply)
		snapshotAt := rapid.IntRange(0, len(h.frames)).Draw(t, "snapshotAt")
		state := New()
		for at, frame := range h.frames {
			if at == snapshotAt {
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
	copied, err := Restore(data)
	require.NoError(t, err)
	return copied
}

// withoutDuplicateCheck disables the duplicate check: it gives each record an
// unused sequence number.
func withoutDuplicateCheck(s *State, at protocol.Offset, frame protocol.Frame) []protocol.Verdict {
	frame = withChangedRecords(frame, func(rec *protocol.Record) {
		info, _ := s.Sessions.Get(rec.ID.Session)
		rec.ID.Seq = info.Seq + 1
	})
	return s.Apply(at, frame)
}

// withoutBasedOnCheck disables the check for concurrent changes: it makes each
// change appear to be based on the configuration in force.
func withoutBasedOnCheck(s *State, at protocol.Offset, frame protocol.Frame) []protocol.Verdict {
	frame = withChangedRecords(frame, func(rec *protocol.Record) {
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

// withChangedRecords returns a copy of a frame with change applied to each
// record.
func withChangedRecords(frame protocol.Frame, change func(*protocol.Record)) protocol.Frame {
	records := append([]protocol.Record{}, frame.Records...)
	for i := range records {
		change(&records[i])
	}
	return protocol.Frame{Records: records}
}

// The invariants must detect faulty replay: with either check disabled, the
// histories above must show violations.
func TestHistoriesDetectBrokenRules(t *testing.T) {
	for name, broken := range map[string]applyFunc{
		"no duplicate check": withoutDuplicateCheck,
		"no based-on check":  withoutBasedOnCheck,
	} {
		t.Run(name, func(t *testing.T) {
			violations := 0
			for seed := range 100 {
				violations += len(play(histories().Example(seed), broken).violations)
			}
			require.NotZero(t, violations)
		})
	}
}
