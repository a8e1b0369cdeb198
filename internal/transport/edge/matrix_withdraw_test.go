package edge

import (
	"context"
	"errors"

	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/target"
)

const (
	testedAtOtherSteps = "faults in the propagation of a withdrawal are tested at the steps apply and read back; the edge uses the configuration in force"
	notSentByEdge      = "the edge does not send the response to the operator"
)

// withdrawCases returns the faults while a key in use is withdrawn.
func withdrawCases() []faultCase {
	const step = "withdraw"
	return []faultCase{
		{step, "kill-before", testedAtOtherSteps, systemOptions{}, nil},
		{step, "kill-after", testedAtOtherSteps, systemOptions{}, nil},
		{step, "pause-past-lease", "The instance is paused while the key is withdrawn. When it resumes, requests and tokens are waiting; none of them may be served with the outdated keys.", systemOptions{}, withdrawWhilePaused},
		{step, "log-down", testedAtOtherSteps, systemOptions{}, nil},
		{step, "answer-lost", notSentByEdge, systemOptions{}, nil},
		{step, "duplicate", "The withdrawal arrives twice. The key stays rejected.", systemOptions{}, withdrawTwice},
		{step, "late", "The key is withdrawn in the middle of a stream and before the end of a non-streamed response. The caller must receive no further content of either.", systemOptions{}, withdrawMidway},
		{step, "crossed", "The target swaps responses while the key is withdrawn. The call must not be retried for a withdrawn key.", systemOptions{}, withdrawBeforeRetry},
		{step, "cut-from-log", testedAtOtherSteps, systemOptions{}, nil},
		{step, "cut-from-domain", testedAtOtherSteps, systemOptions{}, nil},
		{step, "target-dead", "The target dies in the middle of a stream whose key is withdrawn. The stream is not resumed at another target.", systemOptions{}, withdrawBeforeResume},
		{step, "operators-racing", "One operator withdraws a key while another publishes its secret under a new ID. The secret stays rejected.", systemOptions{}, withdrawRacing},
	}
}

func (s *system) checkKeyRejected() error {
	got := s.call(context.Background(), testPath, chatBody("riser", false), nil)
	plain := s.plainCall("valve", nil)
	return firstError(
		got.checkRefusal(protocol.CodeKeyWithdrawn, protocol.NotRun),
		plain.checkRefusal(protocol.CodeKeyWithdrawn, protocol.NotRun),
		s.checkExecutions("valve", 0),
	)
}

func checkWithdrawnKeyRejected(s *system) error {
	if err := s.checkChat("before"); err != nil {
		return err
	}
	s.updateFleet(withdrawKey)
	return s.checkKeyRejected()
}

func withdrawTwice(s *system) error {
	s.updateFleet(withdrawKey)
	s.updateFleet(withdrawKey)
	return s.checkKeyRejected()
}

func withdrawMidway(s *system) error {
	s.setFaults(target.Faults{HoldAfter: 3})
	stream := startCall(func() error { return s.checkStreamFails("riser") })
	if err := s.waitStreamsHeld(1); err != nil {
		return err
	}
	s.updateFleet(withdrawKey)
	s.setFaults(target.Faults{})
	if err := <-stream; err != nil {
		return err
	}
	s.updateFleet(func(*protocol.Fleet) {})
	s.setFaults(target.Faults{Freeze: true})
	whole := startCall(func() error {
		got := s.call(context.Background(), testPath, chatBody("pump", false), nil)
		return got.checkRefusal(protocol.CodeKeyWithdrawn, protocol.MayHaveRun)
	})
	if err := s.waitDispatched(1); err != nil {
		return err
	}
	s.updateFleet(withdrawKey)
	s.setFaults(target.Faults{})
	return <-whole
}

func withdrawBeforeRetry(s *system) error {
	s.setFaults(target.Faults{Freeze: true})
	ended := startCall(func() error {
		got := s.call(context.Background(), testPath, chatBody("riser", false), nil)
		return got.checkRefusal(protocol.CodeKeyWithdrawn, protocol.MayHaveRun)
	})
	if err := s.waitDispatched(1); err != nil {
		return err
	}
	s.updateFleet(withdrawKey)
	s.setFaults(target.Faults{Cross: true})
	if err := <-ended; err != nil {
		return err
	}
	return s.checkCallsAtMost(1)
}

// checkCallsAtMost checks that at most the given number of calls reached the model
// targets.
func (s *system) checkCallsAtMost(most int) error {
	n := 0
	for _, standin := range s.targets {
		n += len(standin.Counted().ByCall)
	}
	if n > most {
		return errors.New("a call ran for a withdrawn key")
	}
	return nil
}

func withdrawBeforeResume(s *system) error {
	s.setFaults(target.Faults{HoldAfter: 3})
	stream := startCall(func() error { return s.checkStreamFails("riser") })
	if err := s.waitStreamsHeld(1); err != nil {
		return err
	}
	s.updateFleet(withdrawKey)
	for _, server := range s.servers {
		server.CloseClientConnections()
	}
	return firstError(<-stream, s.checkCallsAtMost(1))
}

func withdrawWhilePaused(s *system) error {
	s.setFaults(target.Faults{HoldAfter: 3})
	stream := startCall(func() error { return s.checkStreamFails("riser") })
	if err := s.waitStreamsHeld(1); err != nil {
		return err
	}
	s.configOutdated.Store(true)
	s.setFaults(target.Faults{})
	got := s.call(context.Background(), testPath, chatBody("pump", false), nil)
	if s.edge.InFlight() != 1 {
		return errors.New("the stream continued with the keys from before the pause")
	}
	s.updateFleet(withdrawKey)
	s.configOutdated.Store(false)
	return firstError(got.checkRefusal(protocol.CodeInstanceStarting, protocol.NotRun), <-stream, s.checkKeyRejected())
}

func withdrawRacing(s *system) error {
	s.updateFleet(func(fleet *protocol.Fleet) {
		withdrawKey(fleet)
		for _, id := range []protocol.KeyID{"a", "k2", "z"} {
			fleet.Keys[id] = protocol.Key{ID: id, Organisation: testOrg, SHA256: hashOf(testSecret)}
		}
	})
	return s.checkKeyRejected()
}
