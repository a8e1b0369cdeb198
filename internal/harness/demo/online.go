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

// onlineLoad sends online calls from several concurrent callers, each of which sends
// one call after another.
type onlineLoad struct {
	stop    context.CancelFunc
	running sync.WaitGroup

	mu         sync.Mutex
	answered   int
	refused    int
	resent     int
	err        error
	firstBytes []time.Duration
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
		l.send(ctx, d, prompt, n%2 == 0)
	}
}

// send sends a call until it is answered. After a refusal, send waits for the time
// in the refusal before it resends the call. It also resends the call when the
// connection breaks because the instance was killed.
func (l *onlineLoad) send(ctx context.Context, d *demo, prompt string, stream bool) {
	body := harness.ChatBody(model, prompt, onlineTokens, stream)
	for ctx.Err() == nil {
		answer, err := d.caller.Post(context.WithoutCancel(ctx), "/v1/chat/completions", body, nil)
		wait := resendDelay
		l.mu.Lock()
		switch {
		case err != nil:
			l.resent++
		case answer.Status == http.StatusTooManyRequests || answer.Status == http.StatusServiceUnavailable:
			l.refused++
			l.checkRefusal(answer)
			wait = max(wait, retryAfter(answer))
		case answer.MatchesPrompt(prompt, onlineTokens, stream):
			l.answered++
			l.firstBytes = append(l.firstBytes, answer.FirstByte)
			l.mu.Unlock()
			return
		default:
			l.err = errors.Join(l.err, fmt.Errorf("online answer does not match its prompt: %s", answer))
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		time.Sleep(wait)
	}
}

// resendDelay is the delay before a call without an answer is resent.
const resendDelay = 20 * time.Millisecond

// retryAfter returns the delay that a refusal asks for.
func retryAfter(answer *harness.Answer) time.Duration {
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
		l.err = errors.Join(l.err, fmt.Errorf("refusal without Retry-After: %s", answer))
	}
}

func (l *onlineLoad) finish(d *demo) error {
	l.stop()
	l.running.Wait()
	if l.answered == 0 {
		return errors.Join(l.err, errors.New("no online call was answered"))
	}
	slices.Sort(l.firstBytes)
	d.printf("online whole=%d refused=%d resent=%d first_byte_p50=%s first_byte_p99=%s", l.answered, l.refused, l.resent,
		l.firstBytes[len(l.firstBytes)/2].Round(10*time.Microsecond), l.firstBytes[len(l.firstBytes)*99/100].Round(10*time.Microsecond))
	return l.err
}
