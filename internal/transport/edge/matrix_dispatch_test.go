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

// dispatchCells: the call goes from the instance to a target.
func dispatchCells() []cell {
	const step = "dispatch"
	return []cell{
		{step, "kill-before", "Targets die before the call reaches them. Repeatable calls move on; the one to the only plain target is refused as not run, and it is true.", systemOptions{}, dispatchKillBefore},
		{step, "kill-after", "A target dies after it took the call. A repeatable call moves on; one that may not be repeated may have run and is not sent again.", systemOptions{}, dispatchKillAfter},
		{step, "pause-past-lease", "The instance is paused between its decision and the send, past the call's deadline. The call must not leave any more.", systemOptions{target: &pausedTarget{Client: targethttp.New(targethttp.Options{})}}, dispatchPaused},
		{step, "log-down", "The log is down. Calls that need no reservation are served; the others are refused as not run and told when to come back.", systemOptions{once: logDownOnce{}}, dispatchLogDown},
		{step, "answer-lost", "The target's answer is lost after the effect. A second send would run the call twice.", systemOptions{}, dispatchAnswerLost},
		{step, "duplicate", "The client's library sends again what it takes for failed. It must be told not to, or the call runs twice.", systemOptions{}, dispatchDuplicate},
		{step, "late", "The target takes the call so slowly that the deadline passes. The caller hears at the deadline, and the late answer reaches nobody.", systemOptions{}, dispatchLate},
		{step, "crossed", "Two calls run at the same time and the target swaps their answers. Each caller must get its own or none.", systemOptions{}, dispatchCrossed},
		{step, "cut-from-log", "The domain is cut off from the log. Repeatable calls go on as before.", systemOptions{once: logDownOnce{}}, dispatchLogDown},
		{step, "cut-from-domain", "The domain is cut off from the others, whose targets stay on the list. Calls stay with the own targets.", systemOptions{}, dispatchCutFromDomain},
		{step, "target-dead", "All targets are dead. The caller gets a final answer at once, that it did not run and when to come back.", systemOptions{}, dispatchAllDead},
		{step, "operators-racing", "One operator takes the model away while another's call is under way. It ends whole; the next one is refused by name.", systemOptions{}, dispatchOperators},
	}
}

func dispatchKillBefore(s *system) error {
	s.servers[0].Close()
	s.plainServer().Close()
	for i := range 12 {
		if err := s.chatWhole(fmt.Sprint("riser ", i)); err != nil {
			return err
		}
	}
	got := s.plainCall("valve", nil)
	return first(got.refused(protocol.CodeTargetFailed, protocol.NotRun), s.ran("valve", 0))
}

func dispatchKillAfter(s *system) error {
	s.targets[0].SetFaults(target.Faults{LoseAnswer: true})
	s.plain.SetFaults(target.Faults{LoseAnswer: true})
	for i := range 12 {
		if err := s.chatWhole(fmt.Sprint("riser ", i)); err != nil {
			return err
		}
	}
	got := s.plainCall("valve", nil)
	return first(got.refused(protocol.CodeOutcomeUnknown, protocol.MayHaveRun), s.ran("valve", 1))
}

// pausedTarget sends each call only after its deadline, as a process does that
// was paused in between.
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
	asked := s.call(context.Background(), testPath, chatBody("riser", false), soon)
	return first(s.ran("valve", 0), asked.refused(protocol.CodeDeadline, protocol.NotRun))
}

// logDownOnce is the reservation of calls while the log is down.
type logDownOnce struct{}

func (logDownOnce) CallAtMostOnce(context.Context, online.AtMostOnceCall, online.Dispatch) (online.Response, *protocol.Refusal) {
	return online.Response{}, protocol.Refuse(protocol.CodePlatformDown, time.Second, "the log is down")
}

func dispatchLogDown(s *system) error {
	got := s.plainCall("valve", http.Header{"Idempotency-Key": {"k1"}})
	if got.header.Get("Retry-After") != "1" {
		return fmt.Errorf("Retry-After %q", got.header.Get("Retry-After"))
	}
	return first(got.refused(protocol.CodePlatformDown, protocol.NotRun), s.ran("valve", 0), s.chatWhole("riser"), s.chatStreamed("pump"))
}

func dispatchAnswerLost(s *system) error {
	s.plain.SetFaults(target.Faults{LoseAnswer: true, Times: 1})
	got := s.plainCall("valve", nil)
	return first(s.ran("valve", 1), got.refused(protocol.CodeOutcomeUnknown, protocol.MayHaveRun))
}

func dispatchDuplicate(s *system) error {
	s.plain.SetFaults(target.Faults{LoseAnswer: true, Times: 1})
	client := s.openai(testSecret)
	err := client.Post(context.Background(), "services/code-lookup/nfpa/25", map[string]string{"valve": "7"}, nil)
	if err == nil {
		return errShownWhole
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
	return first(got.refused(protocol.CodeDeadline, protocol.MayHaveRun), s.chatWhole("next"), s.chatStreamed("after"))
}

func dispatchCrossed(s *system) error { return s.crossAtFirst(s.chatWhole) }

func dispatchCutFromDomain(s *system) error {
	listing := s.listing
	for _, id := range []protocol.TargetID{"far-1", "far-2"} {
		listing.Targets = append(listing.Targets, external.ListedTarget{ID: id, Service: testService, Domain: "pnw-pdx", Address: "127.0.0.1:1"})
	}
	s.router.Listing(listing)
	for i := range 24 {
		if err := s.chatWhole(fmt.Sprint("riser ", i)); err != nil {
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
	return got.refused(protocol.CodeTargetFailed, protocol.NotRun)
}

func dispatchOperators(s *system) error {
	s.setFaults(target.Faults{HoldAfter: 3})
	running := begin(func() error { return s.chatStreamed("riser") })
	if err := s.held(1); err != nil {
		return err
	}
	s.change(func(fleet *protocol.Fleet) { delete(fleet.Models, testModel) })
	s.setFaults(target.Faults{})
	got := s.call(context.Background(), testPath, chatBody("next", false), nil)
	return first(<-running, got.refused(protocol.CodeUnknownModel, protocol.NotRun))
}
