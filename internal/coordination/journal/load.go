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

// load gets a state to replay from, and tries until there is one: from a peer,
// else from the snapshot stream, else from the first entry of the control
// stream.
func (r *reader) load(ctx context.Context) {
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

// adopt makes a loaded state the instance's own.
func (r *reader) adopt(state *replica.State, source string) {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	r.backoff.reset()
	r.status.set("")
	r.progress.finished(time.Now())
	r.publish()
	close(r.status.loaded)
	r.announce()
	r.event("state_loaded", "source", source, "applied", state.Applied(), "fleet", state.Fleet.Fleet().Version)
}

func (r *reader) findState(ctx context.Context) (*replica.State, string, error) {
	state, err := r.fromPeer(ctx)
	if err == nil {
		return state, "peer", nil
	}
	state, err = r.fromStream(ctx)
	if err == nil {
		return state, "snapshot stream", nil
	}
	if !errors.Is(err, errNoSnapshot) {
		return nil, "", trace.Wrap(err)
	}
	if err := r.wholeStream(ctx); err != nil {
		return nil, "", trace.Wrap(err)
	}
	return replica.New(), "control stream", nil
}

func (r *reader) fromPeer(ctx context.Context) (*replica.State, error) {
	if r.opts.Snapshots == nil {
		return nil, errNoSnapshot
	}
	data, err := r.opts.Snapshots.FetchSnapshot(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return replica.Restore(data)
}

func (r *reader) fromStream(ctx context.Context) (*replica.State, error) {
	data, err := r.newestSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	return replica.Restore(data)
}

// wholeStream reports whether the control stream still holds its first entry.
// An instance that began at a later one would lack what was agreed before: it
// would let withdrawn keys in and run finished items again.
func (r *reader) wholeStream(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.timings.ReadTimeout)
	defer cancel()
	page, err := r.log.Read(ctx, protocol.ControlStream, 0, 1, 0)
	if errors.Is(err, external.ErrTrimmed) {
		return fmt.Errorf("the control stream begins at %d and there is no snapshot", page.Oldest)
	}
	return err
}

// repair replaces the state after entries left retention unread, or are
// missing. Until it succeeds nothing is applied: a reader that went on at the
// oldest kept entry would silently lack what it missed, and would disagree
// with the others from there on.
func (r *reader) repair(ctx context.Context, from, oldest protocol.Offset) error {
	r.progress.behind()
	if r.status.set(fmt.Sprintf("control stream has a gap from %d to %d", from, oldest)) {
		counters.Add(countGaps, 1)
		r.event("control_gap", "from", from, "oldest", oldest)
	}
	state, err := r.fromPeer(ctx)
	if err == nil && state.Applied()+1 >= oldest {
		if err = r.install(state); err == nil {
			return nil
		}
	}
	state, streamErr := r.fromStream(ctx)
	if streamErr != nil {
		return trace.Wrap(streamErr, "gap at %d not repaired (peer: %v)", from, err)
	}
	return r.install(state)
}

// InstallSnapshot replaces the state by a peer's that is ahead of it. It
// brings configuration into a failure domain that is cut off from the log.
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

// install replaces the state by one that is ahead, and settles what may have
// happened in between.
func (j *Journal) install(state *replica.State) error {
	j.mu.Lock()
	if state.Applied() <= j.state.Applied() || state.Fleet.Fleet().Version < j.state.Fleet.Fleet().Version {
		j.mu.Unlock()
		return errStale
	}
	j.state = state
	clear(j.digests)
	j.mu.Unlock()
	counters.Add(countInstalls, 1)
	j.event("state_installed", "applied", state.Applied())
	j.publish()
	j.settleGap()
	j.announce()
	return nil
}

// settleGap ends the submissions whose records may stand among the entries
// that were not read, and notices if the own session ended there.
func (j *Journal) settleGap() {
	j.mu.RLock()
	defer j.mu.RUnlock()
	j.pending.Lock()
	for id, sub := range j.waiting {
		if j.stillAhead(id, sub) {
			continue
		}
		j.settle(sub, mayHaveRun(ErrGap))
	}
	j.pending.Unlock()
	j.holderMu.Lock()
	defer j.holderMu.Unlock()
	session := j.holder.Session()
	if session != 0 && !j.state.Sessions.Open(session) {
		j.holder.Ended(session)
		j.event("own_session_ended", "session", session)
		j.wakeRenewer()
	}
}

// stillAhead reports whether a record is certainly not among the entries that
// the state covers. The caller holds j.mu and j.pending.
func (j *Journal) stillAhead(id protocol.RecordID, sub *submission) bool {
	info, open := j.state.Sessions.Get(id.Session)
	if open {
		return id.Seq > info.Seq
	}
	return sub.rec.SessionOpen != nil && !j.state.Sessions.Ended(id.Session)
}
