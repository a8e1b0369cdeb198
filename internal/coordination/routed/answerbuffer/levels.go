package answerbuffer

const (
	// answersShare is the share of the bound up to which answers may be held. The rest is for
	// request bodies: otherwise callers that don't read would make the instance reject the
	// requests of all others.
	answersShare = 0.75
	// fairFrom is the share of the bound above which only answers that hold at most the mean may
	// hold more, so that the callers that lag most are stopped first.
	fairFrom = 0.5
)

// Levels are the numbers on which decisions are based.
type Levels struct {
	// Bound is the maximum number of bytes, Answers and Bodies are the numbers held.
	Bound, Answers, Bodies int64
	// Holders is the number of answers of which bytes are held.
	Holders int
}

// Verdict is a decision on bytes of an answer.
type Verdict string

// The verdicts. Their values appear in log lines and metrics.
const (
	// Fits: the bytes may be held.
	Fits Verdict = "fits"
	// OverMean: the answer holds more than the mean, and much of the bound is used.
	OverMean Verdict = "over_mean"
	// OverBound: the bytes would exceed what answers may use.
	OverBound Verdict = "over_bound"
)

// Answer decides whether an answer that holds own bytes may hold size bytes more.
func (l Levels) Answer(own, size int64) Verdict {
	after := l.Answers + l.Bodies + size
	switch {
	case float64(after) > answersShare*float64(l.Bound):
		return OverBound
	case float64(after) > fairFrom*float64(l.Bound) && own > 0 && own*int64(l.Holders) > l.Answers:
		return OverMean
	default:
		return Fits
	}
}

// Body decides whether size bytes more of request bodies may be held.
func (l Levels) Body(size int64) bool { return l.Answers+l.Bodies+size <= l.Bound }

// relieved reports whether every answer may hold more.
func (l Levels) relieved() bool { return float64(l.Answers+l.Bodies) <= fairFrom*float64(l.Bound) }
