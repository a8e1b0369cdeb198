package edge

import (
	"fmt"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/target"
)

const noLogAtAnswer = "an answer on its way from a target to its caller needs no record; stored outcomes of reserved calls are cells of the once path"

// answerCells: the answer comes from a target to the instance.
func answerCells() []cell {
	const step = "answer"
	return []cell{
		{step, "kill-before", "The target dies before its first token. Another one answers.", systemOptions{}, answerKillBefore},
		{step, "kill-after", "The target dies before its last token. The stream goes on at another target where it broke off.", systemOptions{}, answerKillAfter},
		{step, "pause-past-lease", "The target is paused in the middle of a stream. Its connection stays open, so only the silence shows it.", systemOptions{policy: shortPolicy}, answerPaused},
		{step, "log-down", noLogAtAnswer, systemOptions{}, nil},
		{step, "answer-lost", "The whole answer is lost on its way. Another target answers.", systemOptions{}, answerLost},
		{step, "duplicate", "The second target ignores where the stream broke off and starts again. The caller must not read the beginning twice.", systemOptions{}, answerDuplicate},
		{step, "late", "A frozen target answers long after its call moved on. The late answer reaches nobody.", systemOptions{policy: shortPolicy}, answerLate},
		{step, "crossed", "Two streams run at the same time and the target swaps them. Each caller must get its own or none.", systemOptions{}, answerCrossed},
		{step, "cut-from-log", noLogAtAnswer, systemOptions{}, nil},
		{step, "cut-from-domain", "The stream comes from another domain that is cut off in the middle. It goes on at a target of the own domain.", systemOptions{}, answerCutFromDomain},
		{step, "target-dead", "Every target ends its streams early, some tidily but without the end mark. The caller sees a broken answer, never a short whole one.", systemOptions{}, answerAllDead},
		{step, "operators-racing", "Operators change version and service in the middle of a stream. It ends whole.", systemOptions{}, answerOperators},
	}
}

func answerKillBefore(s *system) error {
	s.targets[0].SetFaults(target.Faults{LoseAnswer: true, Times: 1})
	s.targets[1].SetFaults(target.Faults{LoseAnswer: true, Times: 1})
	return first(s.chatStreamed("riser"), s.chatStreamed("pump"))
}

// faultTwo gives the first two targets a fault each, so that a call meets at
// most two faults in its three attempts.
func (s *system) faultTwo(one, two target.Faults) {
	s.targets[0].SetFaults(one)
	s.targets[1].SetFaults(two)
}

func answerKillAfter(s *system) error {
	s.faultTwo(target.Faults{CutAfter: answerTokens - 1, Times: 1}, target.Faults{CutAfter: 2, Times: 1})
	return first(s.chatStreamed("riser"), s.chatStreamed("pump"), s.chatStreamed("valve"), s.resumedOnce(3))
}

// resumedOnce checks that so many calls took more attempts than one each.
func (s *system) resumedOnce(calls int) error {
	attempts := 0
	for _, standin := range s.targets {
		attempts += len(standin.Counted().ByCall)
	}
	if attempts <= calls {
		return errNoEvidence
	}
	return nil
}

func answerPaused(s *system) error {
	s.faultTwo(target.Faults{HoldAfter: 3, Times: 1}, target.Faults{HoldAfter: 5, Times: 1})
	return first(s.chatStreamed("riser"), s.chatStreamed("pump"), s.chatStreamed("valve"), s.resumedOnce(3))
}

func answerLost(s *system) error {
	s.targets[0].SetFaults(target.Faults{CutAfter: 1, Times: 1})
	s.targets[1].SetFaults(target.Faults{CutAfter: 1, Times: 1})
	return first(s.chatWhole("riser"), s.chatWhole("pump"))
}

func answerDuplicate(s *system) error {
	s.setFaults(target.Faults{CutAfter: 5, IgnoreResume: true})
	return s.brokenStream("riser")
}

func answerLate(s *system) error {
	s.targets[0].SetFaults(target.Faults{Freeze: true})
	for i := range 6 {
		if err := s.chatStreamed(fmt.Sprint("riser ", i)); err != nil {
			return err
		}
	}
	s.targets[0].SetFaults(target.Faults{})
	return first(s.chatStreamed("pump"), s.chatWhole("valve"))
}

func answerCrossed(s *system) error {
	return s.crossAtFirst(func(question string) error { return s.chatStreamed(question) })
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
	running := begin(func() error { return s.chatStreamed("riser") })
	if err := s.held(1); err != nil {
		return err
	}
	for i := range modelTargets {
		far.Targets[i].Leaving = false
	}
	s.router.ApplyListing(far)
	s.servers[0].CloseClientConnections()
	return first(<-running, s.resumedOnce(1))
}

func answerAllDead(s *system) error {
	s.setFaults(target.Faults{EndAfter: 3})
	if err := s.brokenStream("riser"); err != nil {
		return err
	}
	s.setFaults(target.Faults{CutAfter: 3})
	return s.brokenStream("pump")
}

func answerOperators(s *system) error {
	s.setFaults(target.Faults{HoldAfter: 3})
	running := begin(func() error { return s.chatStreamed("riser") })
	if err := s.held(1); err != nil {
		return err
	}
	s.change(func(fleet *protocol.Fleet) {
		fleet.Models[testModel] = protocol.Model{Name: testModel, Service: testService, Version: "v2"}
		service := fleet.Services[testService]
		service.Repeatable = false
		fleet.Services[testService] = service
	})
	s.setFaults(target.Faults{})
	return <-running
}
