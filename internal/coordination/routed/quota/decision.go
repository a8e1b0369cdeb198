package quota

import (
	"fmt"
	"time"
)

// LevelsUnknown and LevelsOfNobody are values of Decision.LevelsFrom: the levels are not
// known yet, or no other instance has sent them.
const (
	LevelsUnknown  = "unknown"
	LevelsOfNobody = "nobody"
)

// Decision is the answer to a request for admission, with the values that it is based on.
type Decision struct {
	Admitted bool
	// Wait is the time until the next request can be admitted. It is set if Admitted is
	// not.
	Wait time.Duration
	// Paced is set if the bucket has a token and this instance has used its share of the
	// organisation's requests.
	Paced bool
	// Early is set if this instance has just started and does not know enough yet to admit the
	// request.
	Early bool
	// Limited reports that the organisation has a limit. The other values are set only then.
	Limited bool
	// Level is the bucket's level in tokens before the decision. Share is the share of the
	// fleet's burst that this instance may use.
	Level, Share float64
	// Restrained reports that all instances have started together and the organisation was hot
	// before, so that this instance uses its share alone.
	Restrained bool
	// LimitsVersion is the version of the configuration that the limit is from.
	LimitsVersion int64
	// LevelsFrom is the instance that the levels were adopted from, LevelsUnknown or
	// LevelsOfNobody. LevelsAge is the time since then.
	LevelsFrom string
	LevelsAge  time.Duration
	// Instances is the number of instances that may admit requests, as far as they are
	// known, and Reachable the number of those that report; this one is in both.
	Instances, Reachable int
	// ReportsAge is the mean age of the last reports of the other reachable instances.
	ReportsAge time.Duration
}

// LogFields returns the values that the decision is based on as the fields of a log line,
// none for an organisation without a limit.
func (d *Decision) LogFields() []any {
	if !d.Limited {
		return nil
	}
	return []any{
		"level", fmt.Sprintf("%.2f", d.Level), "share", fmt.Sprintf("%.2f", d.Share), "limits", d.LimitsVersion,
		"levels_from", d.LevelsFrom, "levels_age_ms", d.LevelsAge.Milliseconds(),
		"instances", d.Instances, "reachable", d.Reachable, "reports_age_ms", d.ReportsAge.Milliseconds(), "restrained", d.Restrained,
	}
}

// decision returns the values that a decision about an organisation is based on now.
func (bs *Buckets) decision(now time.Time, b *bucket, s shares) Decision {
	return Decision{
		Limited: true, Level: b.level, Share: b.share, Restrained: b.pacer.restrained, LimitsVersion: bs.limitsVersion,
		LevelsFrom: bs.startup.levelsFrom, LevelsAge: now.Sub(bs.startup.levelsAt),
		Instances: int(s.instances), Reachable: int(s.heard), ReportsAge: s.reportsAge,
	}
}
