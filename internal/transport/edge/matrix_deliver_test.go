package edge

import (
	"context"
	"fmt"
	"net/http"

	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/target"
)

const noLogAtDeliver = "delivering an answer needs no record and no lease"

// deliverCells: the answer goes from the instance to its caller.
func deliverCells() []cell {
	const step = "deliver"
	return []cell{
		{step, "kill-before", "The instance dies in the middle of a stream. Its caller sees a broken answer, never a short whole one.", systemOptions{}, deliverKillBefore},
		{step, "kill-after", "The instance dies just after the end of an answer. The caller has it whole.", systemOptions{}, deliverKillAfter},
		{step, "pause-past-lease", noLogAtDeliver, systemOptions{}, nil},
		{step, "log-down", noLogAtDeliver, systemOptions{}, nil},
		{step, "answer-lost", "The caller's connection breaks while a call that may not be repeated runs. The call runs to its end, once.", systemOptions{}, deliverAnswerLost},
		{step, "duplicate", "A caller that lost its answer sends the request again. It gets the whole answer.", systemOptions{}, deliverDuplicate},
		{step, "late", "A call is given up at its deadline in the middle of its stream. The caller is told within the stream, and nothing comes after.", systemOptions{}, deliverLate},
		{step, "crossed", "Two callers use the same request id. Each gets its own answer.", systemOptions{}, deliverCrossed},
		{step, "cut-from-log", noLogAtDeliver, systemOptions{}, nil},
		{step, "cut-from-domain", "The caller's way to the domain is cut in the middle of a stream. The call must not go on holding a place at its target.", systemOptions{}, deliverCallerCut},
		{step, "target-dead", "The target dies just after the end of its answer. The caller gets it whole.", systemOptions{}, deliverTargetDead},
		{step, "operators-racing", "One operator withdraws a key while another gives one. The stream of the first is cut, that of the second goes on.", systemOptions{}, deliverOperators},
	}
}

func deliverKillBefore(s *system) error {
	s.setFaults(target.Faults{HoldAfter: 3})
	running := begin(func() error { return s.brokenStream("riser") })
	if err := s.held(1); err != nil {
		return err
	}
	s.kill()
	return <-running
}

func deliverKillAfter(s *system) error {
	got := s.call(context.Background(), testPath, chatBody("riser", false), nil)
	s.kill()
	return got.answers("riser")
}

func deliverAnswerLost(s *system) error {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	s.plain.SetFaults(target.Faults{Freeze: true})
	running := begin(func() error { return s.call(ctx, plainPath, "valve", nil).err })
	if err := eventually("the call in flight", func() bool { return s.edge.InFlight() == 1 }); err != nil {
		return err
	}
	leave()
	if err := <-running; err == nil {
		return errNoEvidence
	}
	s.plain.SetFaults(target.Faults{})
	ended := eventually("the call's end", func() bool { return s.edge.InFlight() == 0 })
	if s.runs("valve") > 1 {
		return s.ran("valve", 1)
	}
	return ended
}

func deliverDuplicate(s *system) error {
	return first(s.chatWhole("riser"), s.chatWhole("riser"), s.chatStreamed("riser"), s.chatStreamed("riser"))
}

func deliverLate(s *system) error {
	s.setFaults(target.Faults{HoldAfter: 3})
	got := s.call(context.Background(), testPath, chatBody("riser", true), http.Header{"X-Deadline-Ms": {"300"}})
	s.setFaults(target.Faults{})
	if got.err == nil {
		return errShownWhole
	}
	return s.chatStreamed("next")
}

func deliverCrossed(s *system) error {
	ask := func(question string) func() error {
		return func() error {
			got := s.call(context.Background(), testPath, chatBody(question, false), http.Header{"X-Request-Id": {"same"}})
			if got.header.Get("X-Request-Id") != "same" {
				return fmt.Errorf("request id %q", got.header.Get("X-Request-Id"))
			}
			return got.answers(question)
		}
	}
	return together(ask("riser 1"), ask("riser 2"), ask("riser 3"), ask("riser 4"))
}

func deliverCallerCut(s *system) error {
	ctx, cut := context.WithCancel(context.Background())
	defer cut()
	s.setFaults(target.Faults{HoldAfter: 3})
	running := begin(func() error { return s.call(ctx, testPath, chatBody("riser", true), nil).err })
	if err := s.held(1); err != nil {
		return err
	}
	cut()
	if <-running == nil {
		return errNoEvidence
	}
	return s.held(0)
}

func deliverTargetDead(s *system) error {
	got := s.call(context.Background(), testPath, chatBody("riser", true), nil)
	for _, server := range s.servers {
		server.Close()
	}
	if got.err != nil {
		return got.err
	}
	if got.header.Get("X-Run-State") != string(protocol.MayHaveRun) {
		return fmt.Errorf("run state %q on a stream that had only begun", got.header.Get("X-Run-State"))
	}
	return nil
}

func deliverOperators(s *system) error {
	const otherSecret = "sk-firewater-2"
	addKey := func(fleet *protocol.Fleet) {
		fleet.Keys["k2"] = protocol.Key{ID: "k2", Organisation: testOrg, SHA256: hashOf(otherSecret)}
	}
	s.change(addKey)
	s.setFaults(target.Faults{HoldAfter: 3})
	first1 := begin(func() error { return s.brokenStream("riser") })
	other := begin(func() error {
		got := s.call(context.Background(), testPath, chatBody("pump", true), http.Header{"Authorization": {"Bearer " + otherSecret}})
		return got.err
	})
	if err := s.held(2); err != nil {
		return err
	}
	s.change(func(fleet *protocol.Fleet) {
		addKey(fleet)
		withdraw(fleet)
	})
	s.setFaults(target.Faults{})
	return first(<-first1, <-other)
}
