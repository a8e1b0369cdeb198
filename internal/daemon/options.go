package daemon

import (
	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/coordination/journal"
	"merlintiller/internal/coordination/member"
	"merlintiller/internal/coordination/online"
	"merlintiller/internal/coordination/routing"
	"merlintiller/internal/settings"
	"merlintiller/internal/transport/edge"
)

// journalTimings returns the timings of the journal.
func journalTimings(t settings.Timings) journal.Timings {
	return journal.Timings{
		Session: member.Timings{
			Renew:   t.Renew,
			Hold:    t.Hold,
			Expire:  t.Expire,
			Stagger: t.Stagger,
			Drift:   t.ClockDrift,
		},
		PollWait:      t.LogWait,
		AppendTimeout: t.PlatformTimeout,
		ReadTimeout:   t.PlatformTimeout,
		DownAfter:     t.LogDownAfter,
		FrameSpacing:  t.AppendSpacing,
		ReadSpacing:   t.ReadSpacing,
		SnapshotAfter: t.Snapshot,
	}
}

// viewLimits returns the limits of the view of other instances that heartbeats maintain.
func viewLimits(t settings.Timings) member.ViewLimits {
	limits := member.DefaultViewLimits()
	limits.Reachable = t.PeerSilenceTimeout
	limits.Forget = t.PeerRetention
	return limits
}

func batchOptions(s *settings.Settings) batch.Options {
	return batch.Options{
		MaxLineBytes:   s.Batch.LineBytes,
		MaxFileBytes:   s.Limits.FileBytes,
		MaxFileItems:   s.Batch.FileItems,
		MaxResultBytes: s.Batch.ResultBytes,
		FileTTL:        s.Batch.FileRetention,
		MaxWindow:      s.Batch.MaxCompletionWindow,
		ResultTTL:      s.Batch.ResultsReadable,
		MaxHeldChunks:  s.Batch.HeldChunks,
		MaxInFlight:    s.Batch.InFlight,
		UrgentLaxity:   s.Batch.UrgentLaxity,
		MaxAttempts:    s.Batch.Attempts,
		BackoffFirst:   s.Batch.FirstBackoff,
		BackoffMax:     s.Batch.MaxBackoff,
		FlushAfter:     s.Batch.ResultFlush,
		BufferBytes:    s.Batch.ResultBufferBytes,
		RefreshAge:     s.Batch.CarryAge,
	}
}

func onlinePolicy(c settings.Calls) online.Policy {
	return online.Policy{
		Timeout:          c.Deadline,
		FirstByteTimeout: c.FirstByteTimeout,
		StallTimeout:     c.StallTimeout,
		MaxAttempts:      c.Attempts,
		RetryRatio:       c.RetryShare,
		MaxResponseBytes: c.AnswerBytes,
		AllowHeaders:     c.AllowHeaders,
	}
}

func routingOptions(s *settings.Settings) routing.Options {
	return routing.Options{
		Domain:          s.Domain,
		Seed:            randomSeed(s.Instance),
		SpillAt:         s.Routing.SpillAt,
		SpillMargin:     s.Routing.SpillGain,
		ReportHalfLife:  s.Routing.ReportHalfLife,
		AffinityMargin:  s.Routing.AffinityLoad,
		FailuresToEject: s.Routing.FailuresToEject,
		InitialEjection: s.Routing.EjectFor,
		MaxEjection:     s.Routing.MaxEjection,
		MaxEjectedShare: s.Routing.EjectShare,
		SlowFactor:      s.Routing.SlowFactor,
	}
}

// inputLimits bound what connections may make the process hold before a request or a message is complete.
type inputLimits struct {
	// heads and messages are in bytes.
	heads, messages int64
	peerConnections int
}

func inputLimitsOf(l settings.Limits) inputLimits {
	return inputLimits{heads: l.HeldHeaderBytes, messages: l.HeldMessageBytes, peerConnections: l.PeerConnections}
}

func edgeLimits(s *settings.Settings) edge.Limits {
	return edge.Limits{
		MaxConnections: s.Limits.Connections,
		MaxBody:        s.Limits.BodyBytes,
		MaxBuffered:    s.Limits.BufferedBytes,
		MaxFile:        s.Limits.FileBytes,
		MaxHeaderBytes: s.Limits.HeaderBytes,
		MaxHeaders:     s.Limits.Headers,
		HeaderTimeout:  s.Limits.HeaderTimeout,
		BodyTimeout:    s.Limits.BodyTimeout,
		FileTimeout:    s.Limits.FileTimeout,
		WriteTimeout:   s.Limits.WriteTimeout,
		IdleTimeout:    s.Limits.IdleTimeout,
		DrainDelay:     s.Timings.DrainNotice,
	}
}

// pollOptions returns the intervals at which the list of targets and load reports are
// polled.
func pollOptions(s *settings.Settings) routing.PollOptions {
	return routing.PollOptions{
		Domain:         s.Domain,
		ListInterval:   s.Timings.ListPoll,
		LoadInterval:   s.Timings.LoadPoll,
		LoadsPerSecond: s.Routing.LoadsPerSecond,
	}
}
