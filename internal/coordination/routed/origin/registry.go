package origin

import (
	"context"
	"errors"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/roster"
)

const (
	// streamLifetime is the longest time from the first event of a stream until its caller
	// takes it up: twice the usual deadline of a caller.
	streamLifetime = 10 * time.Second
	// maxListAge is the age up to which the list of targets shows which versions a service
	// has: three reads.
	maxListAge = 3 * time.Second
	// versionSettleTime is the time for which a version has to be listed here before streams that may be taken up begin at it.
	// By then each instance whose list counts as current has read it too, and the others know that they don't know.
	versionSettleTime = maxListAge + 500*time.Millisecond
	// tellInterval is how often untold records are sent that have to be.
	tellInterval = 250 * time.Millisecond
	// pastTimeout bounds a read of the past versions from the store, and pastWait the time for which
	// a stream that is taken up waits for it. pastRetryInterval is the time between two reads.
	pastTimeout       = time.Second
	pastWait          = 300 * time.Millisecond
	pastRetryInterval = 200 * time.Millisecond
	// pastReadDelay and pastReadSpread are when, after the list of targets became known, an instance reads the past
	// versions without a stream that needs them, and pastReadInterval the time between two such reads. The last one
	// of several has to end before streamLifetime.
	pastReadDelay    = streamLifetime / 5
	pastReadSpread   = streamLifetime / 5
	pastReadInterval = streamLifetime / 5
	// askTimeout bounds the search for a record. Other instances answer within a few
	// milliseconds.
	askTimeout = 80 * time.Millisecond
	// unableFor is how long an instance whose release keeps no records gets no calls. An update
	// replaces it by one that does.
	unableFor = 10 * time.Second
)

var (
	recordsTold    = metrics.NewCounter(`stream_origins_told_total`)
	recordsDropped = metrics.NewCounter(`stream_origins_dropped_total`)
	tellsFailed    = metrics.NewCounter(`stream_origins_tells_failed_total`)
	findsAsked     = metrics.NewCounter(`stream_origins_asks_total`)
)

// Peers are the other instances.
type Peers interface {
	// AllUp returns the instances that are reachable and not leaving, without this one.
	AllUp() []mesh.Instance
}

// Options configure a Registry.
type Options struct {
	Self   mesh.Instance
	Peers  Peers
	Caller protocol.Caller
	// ListAge returns the time since the list of targets was known to be current. It is
	// called without the registry's lock.
	ListAge func() time.Duration
	// Past returns, by service, the versions from before this instance started, see
	// Archive.Past. Nil: not known.
	Past   func(ctx context.Context) (VersionSet, error)
	Logger log.Logger
}

// Registry knows at which version each stream began. It is a background service and safe for
// concurrent use.
type Registry struct {
	opts Options
	// wake is signalled when records have to be sent.
	wake chan struct{}

	mu       sync.Mutex
	history  *history
	records  *table
	outboxes map[string]*outbox
	// unable holds, by address, until when an instance gets no calls because its release keeps
	// no records.
	unable map[string]time.Time
	// pastRead is closed when the current read of the past versions ends, nil if none runs.
	// pastReadAt is when the last one began.
	pastRead   chan struct{}
	pastReadAt time.Time
}

// New returns a registry without records.
func New(opts Options) *Registry {
	r := &Registry{opts: opts, wake: make(chan struct{}, 1), history: newHistory(), records: newTable(), outboxes: map[string]*outbox{}, unable: map[string]time.Time{}}
	metrics.GetOrCreateGauge("stream_origin_records", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(len(r.records.records))
	})
	return r
}

// SetTargets applies the complete list of targets, with those that are leaving.
func (r *Registry) SetTargets(list []roster.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.setTargets(time.Now(), list)
	r.wakeSender()
}

// wakeSender makes Serve send the records that have to be sent now.
func (r *Registry) wakeSender() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// onlyVersion returns the version of a service if no stream can have begun at another one.
// The caller must hold r.mu.
func (r *Registry) onlyVersion(now time.Time, listAge time.Duration, service string) (string, bool) {
	if listAge > maxListAge {
		return "", false
	}
	return r.history.onlyVersion(now.Add(-streamLifetime), service)
}

// OnlyVersion returns the version of a service if no stream can have begun at another one.
func (r *Registry) OnlyVersion(service string) (string, bool) {
	now, listAge := time.Now(), r.opts.ListAge()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.onlyVersion(now, listAge, service)
}

// VersionsForNew returns the versions at which streams that may be taken up elsewhere may begin. Empty: any.
//
// An instance that is cut off, or does not run, goes by its list as long as that counts as current. If a stream began at
// a version that the list lacks, and were taken up there, it would go on at another one.
func (r *Registry) VersionsForNew(service string) []string {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.settled(now.Add(-versionSettleTime), service)
}

// mayBeOnlyVersion reports whether a version can be the only one of a service, as another
// instance says that has known the list for longer: this one must not know of any other.
func (r *Registry) mayBeOnlyVersion(service, version string) bool {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.hasNoOther(now.Add(-streamLifetime), service, version)
}

// Began records that a target of a version sends the first event of a stream. It must be
// called before the event goes to the caller. A stream without an id can't be taken up by it.
func (r *Registry) Began(service, stream, version string) {
	if stream == "" {
		return
	}
	now, listAge := time.Now(), r.opts.ListAge()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.add(now, stream, record{service: service, version: version, begunAt: now, own: true})
	if _, only := r.onlyVersion(now, listAge, service); !only {
		r.tell(now, stream, r.records.records[stream])
	}
}

// Find returns at which version a stream began.
func (r *Registry) Find(ctx context.Context, service, stream string) Origin {
	found := r.find(ctx, service, stream)
	metrics.GetOrCreateCounter(`stream_origins_total{source="` + string(found.Source) + `"}`).Inc()
	return found
}

func (r *Registry) find(ctx context.Context, service, stream string) Origin {
	if found, ok := r.findHere(stream); ok {
		return found
	}
	version, only := r.OnlyVersion(service)
	if stream != "" || !only {
		if found, ok := r.ask(ctx, service, stream); ok {
			return found
		}
	}
	if !only && r.awaitPast(ctx) {
		version, only = r.OnlyVersion(service)
	}
	if only {
		return Origin{Version: version, Source: OnlyVersion, Age: r.opts.ListAge()}
	}
	return Origin{Source: Unknown}
}

// findHere returns the origin of a stream whose record this instance has.
func (r *Registry) findHere(stream string) (Origin, bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	found := r.records.find(now, stream)
	if found == nil {
		return Origin{}, false
	}
	source := Told
	if found.own {
		source = Own
	}
	return Origin{Version: found.version, Source: source, Age: now.Sub(found.begunAt)}, true
}

// ask asks the holders of a stream for its record, or else whether the service has had only one
// version, and returns the first record that is found.
func (r *Registry) ask(ctx context.Context, service, stream string) (Origin, bool) {
	found, again := r.askHolders(ctx, service, stream)
	if again && !found.Known() {
		// Others take the place of those whose release keeps no records.
		found, _ = r.askHolders(ctx, service, stream)
	}
	return found, found.Source == Asked || found.Known() && r.mayBeOnlyVersion(service, found.Version)
}

// askHolders asks the holders of a stream once. unable reports that the release of one of them
// keeps no records.
func (r *Registry) askHolders(ctx context.Context, service, stream string) (found Origin, unable bool) {
	for reply := range r.callHolders(service, stream).until(ctx) {
		switch {
		case reply.Found:
			r.keep([]Record{reply.Record})
			return Origin{Version: reply.Record.Version, Source: Asked, Age: reply.Record.Age}, false
		case reply.OnlyVersion != "":
			found = Origin{Version: reply.OnlyVersion, Source: OnlyVersion, Age: reply.ListAge}
		}
		unable = unable || reply.unable
	}
	return found, unable
}

// findReplies are the replies of the holders of a stream.
type findReplies struct {
	replies chan findReply
	count   int
}

// findReply is the reply of one holder.
type findReply struct {
	FindReply
	// unable is set if the release of the holder keeps no records.
	unable bool
}

// until returns the replies in the order of their arrival, until all have arrived or ctx ends.
func (f findReplies) until(ctx context.Context) func(yield func(findReply) bool) {
	return func(yield func(findReply) bool) {
		for range f.count {
			select {
			case reply := <-f.replies:
				if !yield(reply) {
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}
}

// callHolders asks the holders of a stream. A holder that does not answer has an empty reply.
//
// The calls end by themselves, also once the record was found: ending a call early would close
// its connection, on which the records of other streams are asked for.
func (r *Registry) callHolders(service, stream string) findReplies {
	r.mu.Lock()
	asked := r.others(askedHolders(r.instances(), stream))
	r.mu.Unlock()
	out := findReplies{replies: make(chan findReply, len(asked)), count: len(asked)}
	for _, holder := range asked {
		findsAsked.Inc()
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
			defer cancel()
			var reply FindReply
			err := r.opts.Caller.Call(ctx, holder.Address, methodFind, &FindArgs{Service: service, Stream: stream}, &reply)
			if err != nil {
				out.replies <- findReply{unable: r.markIfUnable(holder.Address, err)}
				return
			}
			out.replies <- findReply{FindReply: reply}
		}()
	}
	return out
}

// markIfUnable records that the release of an instance keeps no records, if the error of a call
// says so: the instance answered that it does not have the method.
func (r *Registry) markIfUnable(address string, err error) bool {
	var answered rpc.ServerError
	if !errors.As(err, &answered) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unable[address] = time.Now().Add(unableFor)
	return true
}

// instances returns the instances that are up and keep records, this one included. The caller
// must hold r.mu.
func (r *Registry) instances() []mesh.Instance {
	now := time.Now()
	able := slices.DeleteFunc(r.opts.Peers.AllUp(), func(i mesh.Instance) bool { return now.Before(r.unable[i.Address]) })
	return append(able, r.opts.Self)
}

// others returns the given instances without this one.
func (r *Registry) others(list []mesh.Instance) []mesh.Instance {
	return slices.DeleteFunc(list, func(i mesh.Instance) bool { return i.Name == r.opts.Self.Name })
}

// keep keeps records of other instances.
func (r *Registry) keep(records []Record) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, received := range records {
		r.records.add(now, received.Stream, record{version: received.Version, begunAt: now.Add(-received.Age)})
	}
}

// answer answers another instance that asks for the record of a stream.
func (r *Registry) answer(args *FindArgs) FindReply {
	if found, ok := r.findHere(args.Stream); ok {
		return FindReply{Found: true, Record: Record{Stream: args.Stream, Version: found.Version, Age: found.Age}}
	}
	reply := FindReply{ListAge: r.opts.ListAge()}
	reply.OnlyVersion, _ = r.OnlyVersion(args.Service)
	return reply
}

// String returns the name of the background service.
func (r *Registry) String() string { return "stream-origins" }

// Serve sends records that were not sent when their streams began, and have to be since a
// service has several versions now, or may have.
func (r *Registry) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		now := time.Now()
		r.checkDomains(now)
		r.readPastInTime(now)
		r.tellUntold()
		timer := time.NewTimer(tellInterval)
		select {
		case <-timer.C:
		case <-r.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

// tellUntold sends the untold records of streams that may still be taken up.
func (r *Registry) tellUntold() {
	now, listAge := time.Now(), r.opts.ListAge()
	r.mu.Lock()
	defer r.mu.Unlock()
	for stream, untold := range r.records.untold(now) {
		if now.Sub(untold.begunAt) > streamLifetime {
			continue
		}
		if _, only := r.onlyVersion(now, listAge, untold.service); !only {
			r.tell(now, stream, untold)
		}
	}
}
