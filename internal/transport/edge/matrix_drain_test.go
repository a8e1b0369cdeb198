package edge

import (
	"context"
	"errors"
	"net/http"
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/target"
)

const (
	killAtDrain   = "a kill cuts what is in flight whether the instance drains or not: deliver/kill-before shows what callers see"
	drainNoLog    = "the edge drains without the log and without a lease; giving back chunks, shares and the session are cells of their own steps"
	drainNoDomain = "the edge drains without exchange with other domains"
)

// drainCells: an instance leaves while calls are in flight.
func drainCells() []cell {
	const step = "drain"
	short := systemOptions{limits: Limits{DrainDelay: time.Millisecond}}
	long := systemOptions{limits: Limits{DrainDelay: time.Hour}}
	return []cell{
		{step, "kill-before", killAtDrain, short, nil},
		{step, "kill-after", killAtDrain, short, nil},
		{step, "pause-past-lease", drainNoLog, short, nil},
		{step, "log-down", drainNoLog, short, nil},
		{step, "answer-lost", "A target's answer is lost while the instance leaves. The call moves on to another target and ends whole.", short, drainAnswerLost},
		{step, "duplicate", "Two operators drain the same instance. No call is cut.", short, drainTwice},
		{step, "late", "The balancer sends requests until it has noticed. Those are served; later ones are refused as not run, at once.", long, drainLate},
		{step, "crossed", "Answers are crossed while the instance leaves. Each caller gets its own whole answer.", short, drainCrossed},
		{step, "cut-from-log", drainNoLog, short, nil},
		{step, "cut-from-domain", drainNoDomain, short, nil},
		{step, "target-dead", "The target of a call in flight dies while the instance leaves. The stream goes on at another one.", short, drainTargetDead},
		{step, "operators-racing", "An operator changes the configuration while another drains the instance. The call in flight ends whole.", short, drainOperators},
	}
}

// drainDuring begins a call, drains the instance, lets meanwhile happen, and
// checks that the call ended well and the drain after it.
func (s *system) drainDuring(drains int, hold target.Faults, call, meanwhile func() error) error {
	s.setFaults(hold)
	running := begin(call)
	if err := s.dispatched(1); err != nil {
		return err
	}
	var drained []<-chan error
	for range drains {
		drained = append(drained, begin(func() error { return s.edge.Drain(context.Background()) }))
	}
	if err := eventually("not ready", func() bool { return s.edge.phase.Load() == refusing }); err != nil {
		return err
	}
	if err := meanwhile(); err != nil {
		return err
	}
	ended := <-running
	for _, one := range drained {
		ended = errors.Join(ended, <-one)
	}
	return ended
}

// drainStream is drainDuring with a stream that is held in its middle.
func (s *system) drainStream(drains int, meanwhile func() error) error {
	return s.drainDuring(drains, target.Faults{HoldAfter: 3}, func() error { return s.chatStreamed("riser") }, func() error {
		return first(s.held(1), meanwhile())
	})
}

func (s *system) goOn() error {
	s.setFaults(target.Faults{})
	return nil
}

func drainPlain(s *system) error { return s.drainStream(1, s.goOn) }

func drainTwice(s *system) error { return s.drainStream(2, s.goOn) }

func drainAnswerLost(s *system) error {
	ask := func() error { return s.chatWhole("riser") }
	return s.drainDuring(1, target.Faults{Freeze: true}, ask, func() error {
		s.faultTwo(target.Faults{LoseAnswer: true, Times: 1}, target.Faults{LoseAnswer: true, Times: 1})
		s.targets[2].SetFaults(target.Faults{})
		return nil
	})
}

func drainTargetDead(s *system) error {
	return s.drainStream(1, func() error {
		for i, standin := range s.targets {
			if standin.InFlight() > 0 {
				s.servers[i].CloseClientConnections()
			}
		}
		return s.goOn()
	})
}

func drainOperators(s *system) error {
	return s.drainStream(1, func() error {
		s.change(func(fleet *protocol.Fleet) { delete(fleet.Models, testModel) })
		return s.goOn()
	})
}

func drainCrossed(s *system) error {
	asked := begin(func() error { return s.crossAtFirst(s.chatWhole) })
	if err := eventually("both calls at the target", func() bool { return len(s.targets[0].Counted().ByCall) == 2 || len(asked) > 0 }); err != nil {
		return err
	}
	return first(s.edge.Drain(context.Background()), <-asked)
}

func drainLate(s *system) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = s.edge.Drain(ctx) }()
	if err := eventually("not ready", func() bool { return !s.readyNow() }); err != nil {
		return err
	}
	got := s.call(context.Background(), testPath, chatBody("riser", false), nil)
	if !got.closed {
		return errors.New("the connection is kept although the instance leaves")
	}
	s.edge.phase.Store(refusing)
	late := s.call(context.Background(), testPath, chatBody("pump", false), nil)
	return first(got.answers("riser"), late.refused(protocol.CodeDraining, protocol.NotRun))
}

func (s *system) readyNow() bool {
	resp, err := http.Get(s.url + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
