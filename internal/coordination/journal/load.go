package journal

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// loadState loads the initial state and retries until it succeeds. It asks a
// peer first, then reads the snapshot stream, and otherwise starts from the
// first entry of the control stream.
func (r *reader) loadState(ctx context.Context) {
	for ctx.Err() == nil {
		state, source, err := r.findState(ctx)
		if err == nil {
			r.adopt(state, source)
			return
		}
		if r.status.set("can't start: " + err.Error()) {
			r.event("start_waits", "err", err)
		}
		pause(ctx, r.backoff.next(), nil)
	}
}

// stateSource is where a loaded state comes from.
type stateSource string

const (
	sourcePeer           stateSource = "peer"
	sourceSnapshotStream stateSource = "snapshot stream"
	// sourceControlStream: nothing is loaded, the stream is replayed from its first entry.
	sourceControlStream stateSource = "control stream"
)

// adopt sets the loaded state as the journal's state. Only a peer's state is as recent as the
// peer's own. Any other is current after the first read of the control stream: before it,
// keys and organisations may be missing.
func (r *reader) adopt(state *replica.State, source stateSource) {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	r.partial.drop()
	r.backoff.reset()
	r.status.set("")
	if source == sourcePeer {
		r.progress.recordAttempt(time.Now())
	}
	r.publishFleet()
	close(r.status.loaded)
	r.notifyChanged()
	r.event("state_loaded", "source", source, "applied", state.Applied(), "fleet", state.Fleet.Fleet().Version)
}

func (r *reader) findState(ctx context.Context) (*replica.State, stateSource, error) {
	state, err := r.loadFromPeer(ctx)
	if err == nil {
		return state, sourcePeer, nil
	}
	state, err = r.loadFromSnapshotStream(ctx)
	if err == nil {
		return state, sourceSnapshotStream, nil
	}
	if !errors.Is(err, errNoSnapshot) {
		return nil, "", trace.Wrap(err)
	}
	if err := r.checkStreamComplete(ctx); err != nil {
		return nil, "", trace.Wrap(err)
	}
	return replica.New(), sourceControlStream, nil
}

func (r *reader) loadFromPeer(ctx context.Context) (*replica.State, error) {
	if r.opts.Snapshots == nil {
		return nil, errNoSnapshot
	}
	data, err := r.opts.Snapshots.FetchSnapshot(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return replica.Restore(data)
}

func (r *reader) loadFromSnapshotStream(ctx context.Context) (*replica.State, error) {
	data, err := r.latestSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	return replica.Restore(data)
}

// checkStreamComplete returns an error if the control stream no longer holds
// its first entry. An instance that started at a later entry would lack earlier
// records: it would admit withdrawn keys and run finished items again.
func (r *reader) checkStreamComplete(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.timings.ReadTimeout)
	defer cancel()
	page, err := r.log.Read(ctx, protocol.ControlStream, 0, 1, 0)
	if errors.Is(err, external.ErrTrimmed) {
		return fmt.Errorf("the control stream begins at %d and there is no snapshot", page.Oldest)
	}
	return err
}

// repairGap replaces the state after entries left retention before they were
// read, or are missing. Until it succeeds no entry is applied. A reader that
// continued at the oldest retained entry would lack the missed entries without
// any error, and its state would differ from that of the other instances from
// then on.
func (r *reader) repairGap(ctx context.Context, from, oldest protocol.Offset) error {
	r.progress.recordBehind()
	if r.status.set(fmt.Sprintf("control stream has a gap from %d to %d", from, oldest)) {
		counters.Add(countGaps, 1)
		r.event("control_gap", "from", from, "oldest", oldest)
	}
	state, err := r.loadFromPeer(ctx)
	if err == nil && state.Applied()+1 >= oldest {
		if err = r.install(state); err == nil {
			return nil
		}
	}
	state, streamErr := r.loadFromSnapshotStream(ctx)
	if streamErr != nil {
		return trace.Wrap(streamErr, "gap at %d not repaired (peer: %v)", from, err)
	}
	return r.install(state)
}

// InstallSnapshot replaces the state with a peer's state if the peer is ahead.
// This brings configuration into a failure domain that is isolated from the
// log.
func (j *Journal) InstallSnapshot(data []byte) error {
	state, err := replica.Restore(data)
	if err != nil {
		return trace.Wrap(err)
	}
	if !j.isLoaded() {
		return ErrStarting
	}
	return j.install(state)
}

// install replaces the state with one that is ahead, and resolves submissions
// whose records may be among the skipped entries.
func (j *Journal) install(state *replica.State) error {
	j.mu.Lock()
	if state.Applied() <= j.state.Applied() || state.Fleet.Fleet().Version < j.state.Fleet.Fleet().Version {
		j.mu.Unlock()
		return errStaleSnapshot
	}
	j.state = state
	clear(j.digests)
	j.mu.Unlock()
	counters.Add(countInstalls, 1)
	j.event("state_installed", "applied", state.Applied())
	j.publishFleet()
	j.resolveGap()
	j.notifyChanged()
	return nil
}

// resolveGap resolves the submissions whose records may be among the entries
// that were not read. It also checks whether the instance's own session ended
// in the gap.
func (j *Journal) resolveGap() {
	j.mu.RLock()
	defer j.mu.RUnlock()
	j.pendingMu.Lock()
	for id, sub := range j.unresolved {
		if j.notCovered(id, sub) {
			continue
		}
		j.resolve(sub, mayHaveRun(ErrGap))
	}
	j.pendingMu.Unlock()
	j.holderMu.Lock()
	defer j.holderMu.Unlock()
	session := j.holder.Session()
	if session != 0 && !j.state.Sessions.Open(session) {
		j.holder.Ended(session)
		j.event("own_session_ended", "session", session)
		j.wakeRenewer()
	}
}

// notCovered reports whether a record is certainly not among the entries that
// the state covers. The caller holds j.mu and j.pendingMu.
func (j *Journal) notCovered(id protocol.RecordID, sub *submission) bool {
	info, open := j.state.Sessions.Get(id.Session)
	if open {
		return id.Seq > info.Seq
	}
	return sub.rec.SessionOpen != nil && !j.state.Sessions.Ended(id.Session)
}
