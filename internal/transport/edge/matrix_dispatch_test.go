package edge

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"merlintiller/internal/coordination/online"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/target"
	"merlintiller/internal/transport/targethttp"
)

// dispatchCases returns the faults while the instance sends a call to a target.
func dispatchCases() []faultCase {
	const step = "dispatch"
	return []faultCase{
		{step, "kill-before", "Targets die before the call reaches them. Repeatable calls are retried at other targets. The call to the only plain target is rejected as not_run and did not run.", systemOptions{}, dispatchKillBefore},
		{step, "kill-after", "A target dies after it received the call. A repeatable call is retried at another target. A call that is not idempotent is reported as possibly run and is not retried.", systemOptions{}, dispatchKillAfter},
		{step, "pause-past-lease", "The instance is paused between choosing a target and sending the call, past the call's deadline. The call must not be sent afterwards.", systemOptions{target: &pausedTarget{Client: targethttp.New(targethttp.Options{})}}, dispatchPaused},
		{step, "log-down", "The log is down. Calls that need no reservation are served; the others are rejected as not_run with a retry delay.", systemOptions{once: logDownOnce{}}, dispatchLogDown},
		{step, "answer-lost", "The target's response is lost after the call took effect. Sending the call again would run it twice.", systemOptions{}, dispatchAnswerLost},
		{step, "duplicate", "The client library retries failed requests automatically. The response must tell it not to retry, or the call runs twice.", systemOptions{}, dispatchDuplicate},
		{step, "late", "The target accepts the call so slowly that the deadline passes. The caller receives an error at the deadline, and no caller receives the late response.", systemOptions{}, dispatchLate},
		{step, "crossed", "The target swaps the responses of two concurrent calls. Each caller must receive its own response or none.", systemOptions{}, dispatchCrossed},
		{step, "cut-from-log", "A network partition separates the domain from the log. Repeatable calls are served as before.", systemOptions{once: logDownOnce{}}, dispatchLogDown},
		{step, "cut-from-domain", "A network partition separates the domain from the others, whose targets stay on the list. Calls are served by the targets of the own domain.", systemOptions{}, dispatchCutFromDomain},
		{step, "target-dead", "All targets are down. The caller immediately receives an error with run state not_run and a retry delay.", systemOptions{}, dispatchAllDead},
		{step, "operators-racing", "An operator removes the model while a call is in flight. The call completes; the next call is rejected because the model is unknown.", systemOptions{}, dispatchOperators},
	}
}

func dispatchKillBefore(s *system) error {
	s.servers[0].Close()
	s.plainServer().Close()
	for i := range 12 {
		if err := s.checkChat(fmt.Sprint("riser ", i)); err != nil {
			return err
		}
	}
	got := s.plainCall("valve", nil)
	return firstError(got.checkRefusal(protocol.CodeTargetFailed, protocol.NotRun), s.checkExecutions("valve", 0))
}

func dispatchKillAfter(s *system) error {
	s.targets[0].SetFaults(target.Faults{LoseAnswer: true})
	s.plain.SetFaults(target.Faults{LoseAnswer: true})
	for i := range 12 {
		if err := s.checkChat(fmt.Sprint("riser ", i)); err != nil {
			return err
		}
	}
	got := s.plainCall("valve", nil)
	return firstError(got.checkRefusal(protocol.CodeOutcomeUnknown, protocol.MayHaveRun), s.checkExecutions("valve", 1))
}

// pausedTarget sends each call only after the call's deadline. It simulates a
// process that was paused before sending.
type pausedTarget struct {
	*targethttp.Client
}

func (p *pausedTarget) Do(ctx context.Context, address string, call external.Call) (*external.Answer, error) {
	<-ctx.Done()
	return p.Client.Do(ctx, address, call)
}

func dispatchPaused(s *system) error {
	soon := http.Header{"X-Deadline-Ms": {"20"}}
	got := s.plainCall("valve", soon)
	if got.refusal.RunState != protocol.NotRun {
		return fmt.Errorf("run state %q", got.refusal.RunState)
	}
	model := s.call(context.Background(), testPath, chatBody("riser", false), soon)
	return firstError(s.checkExecutions("valve", 0), model.checkRefusal(protocol.CodeDeadline, protocol.NotRun))
}

// logDownOnce rejects all at-most-once calls as if the log were down.
type logDownOnce struct{}

func (logDownOnce) CallAtMostOnce(context.Context, online.AtMostOnceCall, online.Dispatch) (online.Response, *protocol.Refusal) {
	return online.Response{}, protocol.Refuse(protocol.CodePlatformDown, time.Second, "the log is down")
}

func dispatchLogDown(s *system) error {
	got := s.plainCall("valve", http.Header{"Idempotency-Key": {"k1"}})
	if got.header.Get("Retry-After") != "1" {
		return fmt.Errorf("Retry-After %q", got.header.Get("Retry-After"))
	}
	return firstError(got.checkRefusal(protocol.CodePlatformDown, protocol.NotRun), s.checkExecutions("valve", 0), s.checkChat("riser"), s.checkChatStream("pump"))
}

func dispatchAnswerLost(s *system) error {
	s.plain.SetFaults(target.Faults{LoseAnswer: true, Times: 1})
	got := s.plainCall("valve", nil)
	return firstError(s.checkExecutions("valve", 1), got.checkRefusal(protocol.CodeOutcomeUnknown, protocol.MayHaveRun))
}

func dispatchDuplicate(s *system) error {
	s.plain.SetFaults(target.Faults{LoseAnswer: true, Times: 1})
	client := s.openai(testSecret)
	err := client.Post(context.Background(), "services/code-lookup/nfpa/25", map[string]string{"valve": "7"}, nil)
	if err == nil {
		return errTruncationHidden
	}
	if calls := len(s.plain.Counted().ByCall); calls != 1 {
		return fmt.Errorf("the call ran %d times", calls)
	}
	return nil
}

func dispatchLate(s *system) error {
	s.setFaults(target.Faults{DelayMS: 200})
	got := s.call(context.Background(), testPath, chatBody("slow", false), http.Header{"X-Deadline-Ms": {"50"}})
	s.setFaults(target.Faults{})
	return firstError(got.checkRefusal(protocol.CodeDeadline, protocol.MayHaveRun), s.checkChat("next"), s.checkChatStream("after"))
}

func dispatchCrossed(s *system) error { return s.checkCrossedAnswers(s.checkChat) }

func dispatchCutFromDomain(s *system) error {
	listing := s.listing
	for _, id := range []protocol.TargetID{"far-1", "far-2"} {
		listing.Targets = append(listing.Targets, external.ListedTarget{ID: id, Service: testService, Domain: "pnw-pdx", Address: "127.0.0.1:1"})
	}
	s.router.ApplyListing(listing)
	for i := range 24 {
		if err := s.checkChat(fmt.Sprint("riser ", i)); err != nil {
			return err
		}
	}
	return nil
}

func dispatchAllDead(s *system) error {
	for _, server := range s.servers {
		server.Close()
	}
	got := s.call(context.Background(), testPath, chatBody("riser", false), nil)
	if got.header.Get("Retry-After") == "" {
		return fmt.Errorf("no Retry-After")
	}
	return got.checkRefusal(protocol.CodeTargetFailed, protocol.NotRun)
}

func dispatchOperators(s *system) error {
	s.setFaults(target.Faults{HoldAfter: 3})
	running := startCall(func() error { return s.checkChatStream("riser") })
	if err := s.waitStreamsHeld(1); err != nil {
		return err
	}
	s.updateFleet(func(fleet *protocol.Fleet) { delete(fleet.Models, testModel) })
	s.setFaults(target.Faults{})
	got := s.call(context.Background(), testPath, chatBody("next", false), nil)
	return firstError(<-running, got.checkRefusal(protocol.CodeUnknownModel, protocol.NotRun))
}
