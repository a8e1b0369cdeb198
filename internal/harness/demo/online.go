package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"merlintiller/internal/harness"
)

// onlineLoad is calls that run one after another in several callers.
type onlineLoad struct {
	stop    context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex
	whole   int
	refused int
	resent  int
	problem error
	first   []time.Duration
}

func (d *demo) startOnline(ctx context.Context) *onlineLoad {
	ctx, stop := context.WithCancel(ctx)
	load := &onlineLoad{stop: stop}
	for n := range onlineCallers {
		load.running.Go(func() { load.run(ctx, d, n) })
	}
	return load
}

func (l *onlineLoad) run(ctx context.Context, d *demo, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		prompt := fmt.Sprintf("deficiencies of riser %d of caller %d", n, caller)
		l.one(ctx, d, prompt, n%2 == 0)
	}
}

// one sends a call until it is answered. It comes back after a refusal, as the
// refusal says, and after a connection that its instance's death cut.
func (l *onlineLoad) one(ctx context.Context, d *demo, prompt string, stream bool) {
	body := harness.ChatBody(model, prompt, onlineTokens, stream)
	for ctx.Err() == nil {
		answer, err := d.caller.Post(context.WithoutCancel(ctx), "/v1/chat/completions", body, nil)
		wait := resendWait
		l.mu.Lock()
		switch {
		case err != nil:
			l.resent++
		case answer.Status == http.StatusTooManyRequests || answer.Status == http.StatusServiceUnavailable:
			l.refused++
			l.checkRefusal(answer)
			wait = max(wait, comeBack(answer))
		case answer.IsOwnAnswer(prompt, onlineTokens, stream):
			l.whole++
			l.first = append(l.first, answer.FirstByte)
			l.mu.Unlock()
			return
		default:
			l.problem = errors.Join(l.problem, fmt.Errorf("online answer is not its own: %s", answer))
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		time.Sleep(wait)
	}
}

// resendWait is the wait before a call is sent again that got no answer.
const resendWait = 20 * time.Millisecond

// comeBack is when a refused caller was told to come back.
func comeBack(answer *harness.Answer) time.Duration {
	var refusal struct {
		Error struct {
			RetryAfterMS int64 `json:"retry_after_ms"`
		}
	}
	if json.Unmarshal(answer.Body, &refusal) != nil {
		return 0
	}
	return time.Duration(refusal.Error.RetryAfterMS) * time.Millisecond
}

func (l *onlineLoad) checkRefusal(answer *harness.Answer) {
	if answer.RetryAfter == "" {
		l.problem = errors.Join(l.problem, fmt.Errorf("refusal without Retry-After: %s", answer))
	}
}

func (l *onlineLoad) finish(d *demo) error {
	l.stop()
	l.running.Wait()
	if l.whole == 0 {
		return errors.Join(l.problem, errors.New("no online call was answered"))
	}
	slices.Sort(l.first)
	d.say("online whole=%d refused=%d resent=%d first_byte_p50=%s first_byte_p99=%s", l.whole, l.refused, l.resent,
		l.first[len(l.first)/2].Round(10*time.Microsecond), l.first[len(l.first)*99/100].Round(10*time.Microsecond))
	return l.problem
}
