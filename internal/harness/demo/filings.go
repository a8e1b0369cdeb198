package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"merlintiller/internal/harness"
	"merlintiller/internal/protocol"
)

// filingLoad is calls that may not be repeated. Each is sent again with the
// same idempotency key until its fate is known, as a careful caller would.
type filingLoad struct {
	running  sync.WaitGroup
	mu       sync.Mutex
	answered int
	unknown  int
	problem  error
}

func (d *demo) startFilings(ctx context.Context) *filingLoad {
	load := &filingLoad{}
	load.running.Go(func() {
		for n := range filings {
			load.one(ctx, d, n)
		}
	})
	return load
}

func (l *filingLoad) one(ctx context.Context, d *demo, n int) {
	const patience = 30 * time.Second
	body := []byte(fmt.Sprintf(`{"filing":%d}`, n))
	header := map[string]string{"Idempotency-Key": fmt.Sprintf("filing-%d", n)}
	for limit := time.Now().Add(patience); time.Now().Before(limit); {
		answer, err := d.caller.Post(ctx, "/v1/services/report-filing/file", body, header)
		if err == nil && answer.Status == http.StatusOK {
			l.note(func() { l.answered++ })
			return
		}
		if err == nil && outcomeUnknown(answer) {
			l.note(func() { l.unknown++ })
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	l.note(func() {
		l.problem = errors.Join(l.problem, fmt.Errorf("filing %d: no final answer within %s", n, patience))
	})
}

func (l *filingLoad) note(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func outcomeUnknown(answer *harness.Answer) bool {
	var reply struct {
		Error struct{ Code protocol.Code }
	}
	return json.Unmarshal(answer.Body, &reply) == nil && reply.Error.Code == protocol.CodeOutcomeUnknown
}

// finish counts the executions at the plain targets that still run.
func (l *filingLoad) finish(ctx context.Context, d *demo) error {
	l.running.Wait()
	executions, most, err := d.executions(ctx)
	if err != nil {
		return err
	}
	d.say("filings answered=%d outcome_unknown=%d executions=%d most_of_one=%d", l.answered, l.unknown, executions, most)
	if most > 1 {
		l.problem = errors.Join(l.problem, fmt.Errorf("a call that may not be repeated ran %d times", most))
	}
	return l.problem
}

func (d *demo) executions(ctx context.Context) (total, most int, err error) {
	byBody := map[string]int{}
	for _, target := range d.fleet.Targets {
		if target.Process.Exited() || target.Listed.Service != "report-filing" {
			continue
		}
		if err := addExecutions(ctx, target.Listed.Address, byBody); err != nil {
			return 0, 0, err
		}
	}
	for _, count := range byBody {
		total += count
		most = max(most, count)
	}
	return total, most, nil
}

func addExecutions(ctx context.Context, address string, byBody map[string]int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/executions", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var executions struct {
		ByBody map[string]int `json:"by_body"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&executions); err != nil {
		return err
	}
	for body, count := range executions.ByBody {
		byBody[body] += count
	}
	return nil
}
