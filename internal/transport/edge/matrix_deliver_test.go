package edge

import (
	"context"
	"fmt"
	"net/http"

	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/target"
)

const deliverUsesNoLog = "forwarding a response to the caller uses no log record and no lease"

// deliverCases returns the faults while the instance forwards a response to its
// caller.
func deliverCases() []faultCase {
	const step = "deliver"
	return []faultCase{
		{step, "kill-before", "The instance dies in the middle of a stream. The caller must see an error, never a truncated response that looks complete.", systemOptions{}, deliverKillBefore},
		{step, "kill-after", "The instance dies just after the end of a response. The caller has received the complete response.", systemOptions{}, deliverKillAfter},
		{step, "pause-past-lease", deliverUsesNoLog, systemOptions{}, nil},
		{step, "log-down", deliverUsesNoLog, systemOptions{}, nil},
		{step, "answer-lost", "The caller's connection breaks while a call that is not idempotent runs. The call completes and runs at most once.", systemOptions{}, deliverAnswerLost},
		{step, "duplicate", "A caller that lost its response sends the request again. It receives the complete response.", systemOptions{}, deliverDuplicate},
		{step, "late", "A call reaches its deadline in the middle of its stream. The stream must end with an error event and nothing after it.", systemOptions{}, deliverLate},
		{step, "crossed", "Several callers use the same request ID. Each receives its own response.", systemOptions{}, deliverCrossed},
		{step, "cut-from-log", deliverUsesNoLog, systemOptions{}, nil},
		{step, "cut-from-domain", "The caller's connection to the domain breaks in the middle of a stream. The call must not keep its slot at the target.", systemOptions{}, deliverCallerCut},
		{step, "target-dead", "The target dies just after the end of its response. The caller receives the complete response.", systemOptions{}, deliverTargetDead},
		{step, "operators-racing", "One operator withdraws a key while another adds a key. The stream of the withdrawn key is ended; the stream of the added key continues.", systemOptions{}, deliverOperators},
	}
}

func deliverKillBefore(s *system) error {
	s.setFaults(target.Faults{HoldAfter: 3})
	running := startCall(func() error { return s.checkStreamFails("riser") })
	if err := s.waitStreamsHeld(1); err != nil {
		return err
	}
	s.kill()
	return <-running
}

func deliverKillAfter(s *system) error {
	got := s.call(context.Background(), testPath, chatBody("riser", false), nil)
	s.kill()
	return got.checkAnswer("riser")
}

func deliverAnswerLost(s *system) error {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	s.plain.SetFaults(target.Faults{Freeze: true})
	running := startCall(func() error { return s.call(ctx, plainPath, "valve", nil).err })
	if err := eventually("the call in flight", func() bool { return s.edge.InFlight() == 1 }); err != nil {
		return err
	}
	leave()
	if err := <-running; err == nil {
		return errCaseNotReached
	}
	s.plain.SetFaults(target.Faults{})
	ended := eventually("the call's end", func() bool { return s.edge.InFlight() == 0 })
	if s.executions("valve") > 1 {
		return s.checkExecutions("valve", 1)
	}
	return ended
}

func deliverDuplicate(s *system) error {
	return firstError(s.checkChat("riser"), s.checkChat("riser"), s.checkChatStream("riser"), s.checkChatStream("riser"))
}

func deliverLate(s *system) error {
	s.setFaults(target.Faults{HoldAfter: 3})
	got := s.call(context.Background(), testPath, chatBody("riser", true), http.Header{"X-Deadline-Ms": {"300"}})
	s.setFaults(target.Faults{})
	if got.err == nil {
		return errTruncationHidden
	}
	return s.checkChatStream("next")
}

func deliverCrossed(s *system) error {
	request := func(question string) func() error {
		return func() error {
			got := s.call(context.Background(), testPath, chatBody(question, false), http.Header{"X-Request-Id": {"same"}})
			if got.header.Get("X-Request-Id") != "same" {
				return fmt.Errorf("request id %q", got.header.Get("X-Request-Id"))
			}
			return got.checkAnswer(question)
		}
	}
	return runConcurrently(request("riser 1"), request("riser 2"), request("riser 3"), request("riser 4"))
}

func deliverCallerCut(s *system) error {
	ctx, cut := context.WithCancel(context.Background())
	defer cut()
	s.setFaults(target.Faults{HoldAfter: 3})
	running := startCall(func() error { return s.call(ctx, testPath, chatBody("riser", true), nil).err })
	if err := s.waitStreamsHeld(1); err != nil {
		return err
	}
	cut()
	if <-running == nil {
		return errCaseNotReached
	}
	return s.waitStreamsHeld(0)
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
		return fmt.Errorf("run state %q in the header of a stream, before the stream completed", got.header.Get("X-Run-State"))
	}
	return nil
}

func deliverOperators(s *system) error {
	const otherSecret = "sk-firewater-2"
	addKey := func(fleet *protocol.Fleet) {
		fleet.Keys["k2"] = protocol.Key{ID: "k2", Organisation: testOrg, SHA256: hashOf(otherSecret)}
	}
	s.updateFleet(addKey)
	s.setFaults(target.Faults{HoldAfter: 3})
	withdrawn := startCall(func() error { return s.checkStreamFails("riser") })
	added := startCall(func() error {
		got := s.call(context.Background(), testPath, chatBody("pump", true), http.Header{"Authorization": {"Bearer " + otherSecret}})
		return got.err
	})
	if err := s.waitStreamsHeld(2); err != nil {
		return err
	}
	s.updateFleet(func(fleet *protocol.Fleet) {
		addKey(fleet)
		withdrawKey(fleet)
	})
	s.setFaults(target.Faults{})
	return firstError(<-withdrawn, <-added)
}
