package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// Usual is the pace of a target that takes the usual time.
	Usual = 100
	// MaxReportAge is the largest age up to which reports may be used. A slow phase of a target
	// takes less than a second; older reports only tell its mean, which is estimated anyway.
	MaxReportAge = 10 * time.Second
	// meanMaxAge is how long a target's mean is used after its last observation. Targets with
	// free slots are chosen several times a second unless they are avoided.
	meanMaxAge = 30 * time.Second
	// meanWeight is the weight of one observed time in a target's mean. With some hundred events
	// a second, the mean covers several of a target's slow phases.
	meanWeight = 1.0 / 256
	// mergeWeight is the weight of a mean that another instance observed.
	mergeWeight = 1.0 / 8
	// usualTimeWeight is the weight of one observed time in the usual time of a service. The
	// lengths of prompts vary by a factor of several, the gaps between events hardly.
	usualTimeWeight = 1.0 / 512
	// calibrationWeight is the least weight of a report by which the usual time is calibrated: a
	// slow phase may have begun or ended since an older one.
	calibrationWeight = 0.5
	// MaxPace bounds a single reported or observed pace, in percent: a gap of a target that
	// hangs must not outweigh hundreds of usual ones.
	MaxPace = 1000
	// minPace bounds a single observed pace, in percent: a gap that is far too short, because the
	// instance read the event before it late, must not rank the target fastest by far. Targets
	// report 60 and more.
	minPace = 25
	// serviceMeanAge is how long a computed mean of a service is used.
	serviceMeanAge = 100 * time.Millisecond
	// maxRelative and minRelative bound the pace of a target relative to its service. The bounds
	// keep the cost of a target with a free slot below that of a full one; of two targets that are
	// even slower, either is a bad choice.
	maxRelative, minRelative = 3, 0.25
	// recentMaxAge is the longest time between two observed gaps of a target that count together.
	recentMaxAge = 500 * time.Millisecond
	// singleFactor is the factor between the pace by a gap and the estimate above which that one gap
	// replaces the estimate, and pairFactor the one for two gaps in a row. Gaps at a constant
	// pace vary by about a quarter, and a slow phase takes less than four gaps of a slow target.
	// If an instance was only late to read one event, the next one replaces the estimate again.
	singleFactor, pairFactor = 1.8, 1.5
	// differsFactor is the factor between two paces above which they differ much. Targets report
	// rounded paces, and one step of a target's load changes its times by less than that.
	differsFactor = 1.25
	// MaxObservations bounds the observations in one message. An observation takes 30 bytes and
	// an instance sends ten messages a second to four failure domains, so that the bound is half
	// of the control budget of 16 KB/s.
	MaxObservations = 24
	// observationMaxAge is how old an observation in a message may be. Messages are sent every
	// 400 ms.
	observationMaxAge = 500 * time.Millisecond
)

// Kind distinguishes observed times.
type Kind int

// Kinds of observed times.
const (
	// FirstEvent is the time from sending a request until the first event of its answer.
	FirstEvent Kind = iota
	// EventGap is the time between two consecutive events of an answer.
	EventGap
	kinds
)

// Source tells where an estimate comes from.
type Source string

const (
	// Unknown: the service has no observed target. The pace is then Usual.
	Unknown Source = ""
	// Reported: the target's own report is younger than the largest age.
	Reported Source = "reported"
	// Observed: the times observed at the target, recently or on the mean.
	Observed Source = "observed"
	// ServiceMean: the target was never observed, and is assumed to be like the others.
	ServiceMean Source = "service"
)

// Estimate is the estimated pace of a target.
type Estimate struct {
	// Percent is the pace in percent of the usual time.
	Percent float64
	// Age is the age of the report or of the last observed time. It is 0 for the mean of a
	// service.
	Age    time.Duration
	Source Source
}

// Observation is what one instance knows about a target's pace. gob sends its fields under their
// Go names.
type Observation struct {
	Target string
	// Percent is the pace that the target reported last, or a recent one by observed times, and
	// Age its age. A Percent of 0 means that there is none.
	Percent int
	Age     time.Duration
	// Mean is the target's mean pace in percent by the times that the instance observed. 0: none
	// were observed recently.
	Mean int
	// Observed tells that Percent is by observed times. false: the target reported it.
	Observed bool
}

// Estimator estimates the paces of targets. It is not safe for concurrent use.
type Estimator struct {
	maxAge   time.Duration
	services map[string]*service
	targets  map[string]*target
}

// service has what is known about the targets of one service.
type service struct {
	// usual are the usual times by kind.
	usual [kinds]usualTime
	// mean is the mean pace of the targets, computed at meanAt.
	mean   float64
	meanAt time.Time
}

// usualTime is the time that work takes at a pace of Usual.
type usualTime struct {
	count   int
	seconds float64
	// calibrated is set once a time was observed at a target with a known pace.
	calibrated bool
}

type target struct {
	service string
	// reported is the last reported pace in percent, 0 if there is none.
	reported   float64
	reportedAt time.Time
	// current is the last reported pace, or the recent pace if that differed much since. It is
	// estimated from observed times if observed is set.
	current   float64
	currentAt time.Time
	observed  bool
	// lastGap is the pace by the last gap between events, at lastGapAt.
	lastGap   float64
	lastGapAt time.Time
	// mean is the mean of the observed paces in percent, 0 if there are none.
	mean       float64
	count      int
	observedAt time.Time
}

// New returns an estimator that uses reports up to an age. An age of 0 turns it off: it
// records nothing.
func New(maxAge time.Duration) *Estimator {
	return &Estimator{maxAge: min(maxAge, MaxReportAge), services: map[string]*service{}, targets: map[string]*target{}}
}

// On reports whether paces are used.
func (e *Estimator) On() bool { return e.maxAge > 0 }

// target returns the state of a target, which is added if it is not known.
func (e *Estimator) target(serviceName, id string) *target {
	t := e.targets[id]
	if t == nil || t.service != serviceName {
		t = &target{service: serviceName}
		e.targets[id] = t
	}
	return t
}

func (e *Estimator) service(name string) *service {
	s := e.services[name]
	if s == nil {
		s = &service{}
		e.services[name] = s
	}
	return s
}

// Forget removes what is known about a target: it is gone, or another process runs under its id.
func (e *Estimator) Forget(id string) { delete(e.targets, id) }

// Report records a pace that a target reported at a time. A report that is older than a known one
// has no effect.
func (e *Estimator) Report(at time.Time, serviceName, id string, percent int) {
	if !e.On() || percent <= 0 {
		return
	}
	e.service(serviceName)
	t := e.target(serviceName, id)
	if t.reported > 0 && at.Before(t.reportedAt) {
		return
	}
	t.reported, t.reportedAt = float64(min(percent, MaxPace)), at
	if !at.Before(t.currentAt) {
		t.current, t.currentAt, t.observed = t.reported, at, false
	}
}

// mergeObserved records a recent pace that another instance derived from observed times. One that
// is older than the current pace has no effect.
func (e *Estimator) mergeObserved(at time.Time, serviceName, id string, percent int) {
	e.service(serviceName)
	t := e.target(serviceName, id)
	if !at.Before(t.currentAt) {
		t.current, t.currentAt, t.observed = float64(min(max(percent, minPace), MaxPace)), at, true
	}
}

// Observe records a time that an instance observed at a target. It returns the recent pace if that
// has just replaced the estimate, otherwise 0.
func (e *Estimator) Observe(now time.Time, serviceName, id string, kind Kind, took time.Duration) (changed float64) {
	if !e.On() || took <= 0 || kind < 0 || kind >= kinds {
		return 0
	}
	t := e.target(serviceName, id)
	usual := &e.service(serviceName).usual[kind]
	if t.reported > 0 && weight(now.Sub(t.reportedAt), e.maxAge) >= calibrationWeight {
		if !usual.calibrated {
			*usual = usualTime{calibrated: true}
		}
		usual.add(took.Seconds() * Usual / t.reported)
	} else if !usual.calibrated {
		usual.add(took.Seconds())
	}
	percent := min(max(Usual*took.Seconds()/usual.seconds, minPace), MaxPace)
	if kind == EventGap {
		changed = e.addGap(now, serviceName, id, percent)
	}
	t.addMean(now, percent, meanWeight)
	return changed
}

// addGap adds a gap between events of a target. The pace by the last gaps replaces the estimate if
// the two differ very much: a slow phase began or ended since the last report. Targets report at the head
// of an answer only, and a slow target may get less than one request in a slow phase.
func (e *Estimator) addGap(now time.Time, serviceName, id string, percent float64) (changed float64) {
	t := e.targets[id]
	last, recent := t.lastGap, now.Sub(t.lastGapAt) <= recentMaxAge
	t.lastGap, t.lastGapAt = percent, now
	estimate := e.Pace(now, serviceName, id)
	if estimate.Source == Unknown {
		return 0
	}
	if recent && (last > estimate.Percent) == (percent > estimate.Percent) &&
		differ(last, estimate.Percent, pairFactor) && differ(percent, estimate.Percent, pairFactor) {
		percent = (last + percent) / 2
	} else if !differ(percent, estimate.Percent, singleFactor) {
		if t.current > 0 && !differ(percent, t.current, pairFactor) {
			// The gap confirms the pace, which is thus as of now.
			t.currentAt = now
		}
		return 0
	}
	t.current, t.currentAt, t.observed = percent, now, true
	return percent
}

// add adds an observed time. The first ones have equal weights.
func (u *usualTime) add(seconds float64) {
	u.count++
	u.seconds += (seconds - u.seconds) * max(usualTimeWeight, 1/float64(u.count))
}

// addMean adds an observed pace to the mean of a target. The first ones have equal weights.
func (t *target) addMean(now time.Time, percent, weight float64) {
	if now.Sub(t.observedAt) > meanMaxAge {
		t.count = 0
	}
	t.count++
	t.mean += (percent - t.mean) * max(weight, 1/float64(t.count))
	t.observedAt = now
}

// weight returns the weight of a report by its age, from 1 when it arrives to 0 at the largest
// age. A slow phase may have ended since the report; the longer ago it was, the more likely.
func weight(age, maxAge time.Duration) float64 {
	if age >= maxAge {
		return 0
	}
	return min(1, 1-float64(age)/float64(maxAge))
}

// currentWeight returns the weight of the current pace.
func (t *target) currentWeight(now time.Time, maxAge time.Duration) float64 {
	if t.current <= 0 {
		return 0
	}
	return weight(now.Sub(t.currentAt), maxAge)
}

// hasMean reports whether a target was observed recently enough for its mean.
func (t *target) hasMean(now time.Time) bool {
	return t.count > 0 && now.Sub(t.observedAt) <= meanMaxAge
}

// Pace returns the estimated pace of a target.
func (e *Estimator) Pace(now time.Time, serviceName, id string) Estimate {
	return e.targets[id].pace(now, e.maxAge, e.Mean(now, serviceName))
}

// pace returns the estimated pace of a target, which may be nil, by the mean of its service.
func (t *target) pace(now time.Time, maxAge time.Duration, mean float64) Estimate {
	if mean == 0 {
		return Estimate{Percent: Usual}
	}
	estimate := Estimate{Percent: mean, Source: ServiceMean}
	if t == nil {
		return estimate
	}
	if t.hasMean(now) {
		estimate = Estimate{Percent: t.mean, Age: max(0, now.Sub(t.observedAt)), Source: Observed}
	}
	if weight := t.currentWeight(now, maxAge); weight > 0 {
		estimate = Estimate{
			Percent: weight*t.current + (1-weight)*estimate.Percent,
			Age:     max(0, now.Sub(t.currentAt)), Source: Reported,
		}
		if t.observed {
			estimate.Source = Observed
		}
	}
	return estimate
}

// Mean returns the mean pace of the observed targets of a service, 0 if there are none. Each
// target counts by its own mean if it has one, otherwise by its report.
func (e *Estimator) Mean(now time.Time, serviceName string) float64 {
	s := e.services[serviceName]
	if s == nil {
		return 0
	}
	if !s.meanAt.IsZero() && !now.Before(s.meanAt) && now.Sub(s.meanAt) < serviceMeanAge {
		return s.mean
	}
	var values []float64
	for _, t := range e.targets {
		if t.service != serviceName {
			continue
		}
		if t.hasMean(now) {
			values = append(values, t.mean)
		} else if t.currentWeight(now, e.maxAge) > 0 {
			values = append(values, t.current)
		}
	}
	// The order of a map must not change the rounding of the sum: the same inputs must lead to
	// the same choices.
	slices.Sort(values)
	s.mean, s.meanAt = 0, now
	for _, v := range values {
		s.mean += v / float64(len(values))
	}
	return s.mean
}

// Relative returns the estimated pace of a target relative to the mean of its service, within
// bounds. It is exactly 1 if nothing is known. mean is the result of Mean, which is the same for
// all targets of a ranking.
func (e *Estimator) Relative(now time.Time, mean float64, id string) float64 {
	estimate := e.targets[id].pace(now, e.maxAge, mean)
	if estimate.Source == Unknown || estimate.Source == ServiceMean {
		return 1
	}
	return min(max(estimate.Percent/mean, minRelative), maxRelative)
}

// Reported returns the number of targets with a report that is used.
func (e *Estimator) Reported(now time.Time) (count int) {
	for _, t := range e.targets {
		if t.currentWeight(now, e.maxAge) > 0 {
			count++
		}
	}
	return count
}

// Observations returns what is known about the targets that include accepts and that reported or
// were observed within observationMaxAge: the most recent MaxObservations of them.
func (e *Estimator) Observations(now time.Time, include func(id string) bool) []Observation {
	type dated struct {
		Observation
		at time.Time
	}
	var list []dated
	maxAge := min(e.maxAge, observationMaxAge)
	for id, t := range e.targets {
		o := dated{Observation: Observation{Target: id}}
		if t.currentWeight(now, maxAge) > 0 {
			o.Percent, o.Age, o.at = max(1, int(math.Round(t.current))), max(0, now.Sub(t.currentAt)), t.currentAt
			o.Observed = t.observed
		}
		if t.count > 0 && now.Sub(t.observedAt) < maxAge {
			o.Mean = max(1, int(math.Round(t.mean)))
			if t.observedAt.After(o.at) {
				o.at = t.observedAt
			}
		}
		if !o.at.IsZero() && include(id) {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b dated) int {
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.Target, b.Target))
	})
	var out []Observation
	for _, o := range list[:min(len(list), MaxObservations)] {
		out = append(out, o.Observation)
	}
	return out
}

// Merge adds what another instance observed.
func (e *Estimator) Merge(now time.Time, serviceName string, o Observation) {
	if !e.On() {
		return
	}
	if o.Percent > 0 && o.Age >= 0 {
		if at := now.Add(-o.Age); o.Observed {
			e.mergeObserved(at, serviceName, o.Target, o.Percent)
		} else {
			e.Report(at, serviceName, o.Target, o.Percent)
		}
	}
	if o.Mean > 0 {
		e.service(serviceName)
		e.target(serviceName, o.Target).addMean(now, float64(min(o.Mean, MaxPace)), mergeWeight)
	}
}

// Differ reports whether two paces differ much. A pace of 0 is unknown and differs from none.
func Differ(a, b float64) bool {
	return differ(a, b, differsFactor)
}

func differ(a, b, factor float64) bool {
	return a > 0 && b > 0 && max(a, b) > factor*min(a, b)
}

// Cost returns the cost of a target with a free slot by the expected time of work there. load is
// the fraction of its slots that are occupied, including those of requests placed since its last
// report. At the mean pace the cost is the load. It grows with both, so that a fast target gets
// more requests than others but not all of them.
//
// It grows with the square of the pace, since the share of requests that miss their objective
// grows faster than the time that they take. Eight runs of policybench/paces with reports 50 ms
// old had 129 late requests of 49,245, and 147 with a linear cost.
func Cost(load, relative float64) float64 {
	if relative == 1 {
		// Without rounding errors: the choice must be the same as without paces.
		return load
	}
	return load + (relative*relative-1)*(1+load)/2
}
