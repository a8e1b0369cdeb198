package edge

import (
	"fmt"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/target"
)

const answerUsesNoLog = "forwarding a response from a target to its caller uses no log record; stored outcomes of reserved calls are tested with the at-most-once path"

// answerCases returns the faults while a target responds to the instance.
func answerCases() []faultCase {
	const step = "answer"
	return []faultCase{
		{step, "kill-before", "The target dies before its first token. Another target serves the call.", systemOptions{}, answerKillBefore},
		{step, "kill-after", "The target dies before its last token. The stream is resumed at another target from the point of the interruption.", systemOptions{}, answerKillAfter},
		{step, "pause-past-lease", "The target is paused in the middle of a stream. Its connection stays open, so only the stall timeout detects the pause.", systemOptions{policy: shortPolicy}, answerPaused},
		{step, "log-down", answerUsesNoLog, systemOptions{}, nil},
		{step, "answer-lost", "The complete response is lost. Another target serves the call.", systemOptions{}, answerLost},
		{step, "duplicate", "The second target ignores the resume position and starts from the beginning. The caller must not receive the beginning twice.", systemOptions{}, answerDuplicate},
		{step, "late", "A frozen target responds long after its call was retried at another target. No caller may receive the late response.", systemOptions{policy: shortPolicy}, answerLate},
		{step, "crossed", "The target swaps two concurrent streams. Each caller must receive its own response or none.", systemOptions{}, answerCrossed},
		{step, "cut-from-log", answerUsesNoLog, systemOptions{}, nil},
		{step, "cut-from-domain", "A stream comes from another domain, and a network partition interrupts it. It is resumed at a target of the instance's own domain.", systemOptions{}, answerCutFromDomain},
		{step, "target-dead", "Every target ends its streams early, some with a regular end of the body but without the end marker. The caller must see an error, never a truncated response that looks complete.", systemOptions{}, answerAllDead},
		{step, "operators-racing", "Operators change the version and the service in the middle of a stream. The stream completes.", systemOptions{}, answerOperators},
	}
}

func answerKillBefore(s *system) error {
	s.targets[0].SetFaults(target.Faults{LoseAnswer: true, Times: 1})
	s.targets[1].SetFaults(target.Faults{LoseAnswer: true, Times: 1})
	return firstError(s.checkChatStream("riser"), s.checkChatStream("pump"))
}

// setTwoFaults injects one fault into each of the first two targets, so that a call
// encounters at most two faults in its three attempts.
func (s *system) setTwoFaults(one, two target.Faults) {
	s.targets[0].SetFaults(one)
	s.targets[1].SetFaults(two)
}

func answerKillAfter(s *system) error {
	s.setTwoFaults(target.Faults{CutAfter: answerTokens - 1, Times: 1}, target.Faults{CutAfter: 2, Times: 1})
	return firstError(s.checkChatStream("riser"), s.checkChatStream("pump"), s.checkChatStream("valve"), s.checkRetried(3))
}

// checkRetried checks that the given number of calls took more attempts than one
// each.
func (s *system) checkRetried(calls int) error {
	attempts := 0
	for _, standin := range s.targets {
		attempts += len(standin.Counted().ByCall)
	}
	if attempts <= calls {
		return errCaseNotReached
	}
	return nil
}

func answerPaused(s *system) error {
	s.setTwoFaults(target.Faults{HoldAfter: 3, Times: 1}, target.Faults{HoldAfter: 5, Times: 1})
	return firstError(s.checkChatStream("riser"), s.checkChatStream("pump"), s.checkChatStream("valve"), s.checkRetried(3))
}

func answerLost(s *system) error {
	s.targets[0].SetFaults(target.Faults{CutAfter: 1, Times: 1})
	s.targets[1].SetFaults(target.Faults{CutAfter: 1, Times: 1})
	return firstError(s.checkChat("riser"), s.checkChat("pump"))
}

func answerDuplicate(s *system) error {
	s.setFaults(target.Faults{CutAfter: 5, IgnoreResume: true})
	return s.checkStreamFails("riser")
}

func answerLate(s *system) error {
	s.targets[0].SetFaults(target.Faults{Freeze: true})
	for i := range 6 {
		if err := s.checkChatStream(fmt.Sprint("riser ", i)); err != nil {
			return err
		}
	}
	s.targets[0].SetFaults(target.Faults{})
	return firstError(s.checkChatStream("pump"), s.checkChat("valve"))
}

func answerCrossed(s *system) error {
	return s.checkCrossedAnswers(func(question string) error { return s.checkChatStream(question) })
}

func answerCutFromDomain(s *system) error {
	far := s.listing
	far.Targets = append([]external.ListedTarget(nil), s.listing.Targets...)
	far.Targets[0].Domain = "pnw-pdx"
	for i := 1; i < modelTargets; i++ {
		far.Targets[i].Leaving = true
	}
	s.router.ApplyListing(far)
	s.targets[0].SetFaults(target.Faults{HoldAfter: 4})
	running := startCall(func() error { return s.checkChatStream("riser") })
	if err := s.waitStreamsHeld(1); err != nil {
		return err
	}
	for i := range modelTargets {
		far.Targets[i].Leaving = false
	}
	s.router.ApplyListing(far)
	s.servers[0].CloseClientConnections()
	return firstError(<-running, s.checkRetried(1))
}

func answerAllDead(s *system) error {
	s.setFaults(target.Faults{EndAfter: 3})
	if err := s.checkStreamFails("riser"); err != nil {
		return err
	}
	s.setFaults(target.Faults{CutAfter: 3})
	return s.checkStreamFails("pump")
}

func answerOperators(s *system) error {
	s.setFaults(target.Faults{HoldAfter: 3})
	running := startCall(func() error { return s.checkChatStream("riser") })
	if err := s.waitStreamsHeld(1); err != nil {
		return err
	}
	s.updateFleet(func(fleet *protocol.Fleet) {
		fleet.Models[testModel] = protocol.Model{Name: testModel, Service: testService, Version: "v2"}
		service := fleet.Services[testService]
		service.Repeatable = false
		fleet.Services[testService] = service
	})
	s.setFaults(target.Faults{})
	return <-running
}
