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
	drainCannotDelayKill = "a kill interrupts calls in flight whether the instance drains or not; deliver/kill-before tests what callers see"
	drainUsesNoLog       = "the edge drains without the log and without a lease; returning chunks, shares and the session is tested at other steps"
	drainUsesNoDomain    = "the edge drains without communicating with other domains"
)

// drainCases returns the faults while an instance drains with calls in flight.
func drainCases() []faultCase {
	const step = "drain"
	short := systemOptions{limits: Limits{DrainDelay: time.Millisecond}}
	long := systemOptions{limits: Limits{DrainDelay: time.Hour}}
	return []faultCase{
		{step, "kill-before", drainCannotDelayKill, short, nil},
		{step, "kill-after", drainCannotDelayKill, short, nil},
		{step, "pause-past-lease", drainUsesNoLog, short, nil},
		{step, "log-down", drainUsesNoLog, short, nil},
		{step, "answer-lost", "A target's response is lost while the instance drains. The call is retried at another target and completes.", short, drainAnswerLost},
		{step, "duplicate", "Two operators drain the same instance. No call is interrupted.", short, drainTwice},
		{step, "late", "The load balancer sends requests until it detects the drain. These requests are served; later ones are rejected immediately as not_run.", long, drainLate},
		{step, "crossed", "The target swaps responses while the instance drains. Each caller receives its own complete response.", short, drainCrossed},
		{step, "cut-from-log", drainUsesNoLog, short, nil},
		{step, "cut-from-domain", drainUsesNoDomain, short, nil},
		{step, "target-dead", "The target of a call in flight dies while the instance drains. The stream is resumed at another target.", short, drainTargetDead},
		{step, "operators-racing", "An operator changes the configuration while another drains the instance. The call in flight completes.", short, drainOperators},
	}
}

// drainDuringCall starts a call with the fault hold, starts the given number of
// drains, runs meanwhile, and checks that the call and the drains succeed.
func (s *system) drainDuringCall(drains int, hold target.Faults, call, meanwhile func() error) error {
	s.setFaults(hold)
	running := startCall(call)
	if err := s.waitDispatched(1); err != nil {
		return err
	}
	var drained []<-chan error
	for range drains {
		drained = append(drained, startCall(func() error { return s.edge.Drain(context.Background()) }))
	}
	if err := eventually("not ready", func() bool { return s.edge.phase.Load() == phaseRejecting }); err != nil {
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

// drainDuringStream is drainDuringCall with a stream that is paused in its middle.
func (s *system) drainDuringStream(drains int, meanwhile func() error) error {
	return s.drainDuringCall(drains, target.Faults{HoldAfter: 3}, func() error { return s.checkChatStream("riser") }, func() error {
		return firstError(s.waitStreamsHeld(1), meanwhile())
	})
}

func (s *system) clearFaults() error {
	s.setFaults(target.Faults{})
	return nil
}

func drainWithoutFault(s *system) error { return s.drainDuringStream(1, s.clearFaults) }

func drainTwice(s *system) error { return s.drainDuringStream(2, s.clearFaults) }

func drainAnswerLost(s *system) error {
	call := func() error { return s.checkChat("riser") }
	return s.drainDuringCall(1, target.Faults{Freeze: true}, call, func() error {
		s.setTwoFaults(target.Faults{LoseAnswer: true, Times: 1}, target.Faults{LoseAnswer: true, Times: 1})
		s.targets[2].SetFaults(target.Faults{})
		return nil
	})
}

func drainTargetDead(s *system) error {
	return s.drainDuringStream(1, func() error {
		for i, standin := range s.targets {
			if standin.InFlight() > 0 {
				s.servers[i].CloseClientConnections()
			}
		}
		return s.clearFaults()
	})
}

func drainOperators(s *system) error {
	return s.drainDuringStream(1, func() error {
		s.updateFleet(func(fleet *protocol.Fleet) { delete(fleet.Models, testModel) })
		return s.clearFaults()
	})
}

func drainCrossed(s *system) error {
	ended := startCall(func() error { return s.checkCrossedAnswers(s.checkChat) })
	if err := eventually("both calls have reached the target", func() bool { return len(s.targets[0].Counted().ByCall) == 2 || len(ended) > 0 }); err != nil {
		return err
	}
	return firstError(s.edge.Drain(context.Background()), <-ended)
}

func drainLate(s *system) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = s.edge.Drain(ctx) }()
	if err := eventually("not ready", func() bool { return !s.isReady() }); err != nil {
		return err
	}
	got := s.call(context.Background(), testPath, chatBody("riser", false), nil)
	if !got.closed {
		return errors.New("the connection is kept open although the instance drains")
	}
	s.edge.phase.Store(phaseRejecting)
	late := s.call(context.Background(), testPath, chatBody("pump", false), nil)
	return firstError(got.checkAnswer("riser"), late.checkRefusal(protocol.CodeDraining, protocol.NotRun))
}

func (s *system) isReady() bool {
	resp, err := http.Get(s.url + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
