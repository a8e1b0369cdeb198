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

// filingLoad sends non-idempotent calls. Each call is resent with the same
// idempotency key until its outcome is known or the instance reports it as unknown.
type filingLoad struct {
	running  sync.WaitGroup
	mu       sync.Mutex
	answered int
	unknown  int
	err      error
}

func (d *demo) startFilings(ctx context.Context) *filingLoad {
	load := &filingLoad{}
	load.running.Go(func() {
		for n := range filings {
			load.send(ctx, d, n)
		}
	})
	return load
}

func (l *filingLoad) send(ctx context.Context, d *demo, n int) {
	const timeout = 30 * time.Second
	body := []byte(fmt.Sprintf(`{"filing":%d}`, n))
	header := map[string]string{"Idempotency-Key": fmt.Sprintf("filing-%d", n)}
	for limit := time.Now().Add(timeout); time.Now().Before(limit); {
		answer, err := d.caller.Post(ctx, "/v1/services/report-filing/file", body, header)
		if err == nil && answer.Status == http.StatusOK {
			l.update(func() { l.answered++ })
			return
		}
		if err == nil && outcomeUnknown(answer) {
			l.update(func() { l.unknown++ })
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	l.update(func() {
		l.err = errors.Join(l.err, fmt.Errorf("filing %d: no final answer within %s", n, timeout))
	})
}

func (l *filingLoad) update(change func()) {
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

// finish waits for all filings and counts their executions at the plain targets that
// are still running.
func (l *filingLoad) finish(ctx context.Context, d *demo) error {
	l.running.Wait()
	executions, most, err := d.executions(ctx)
	if err != nil {
		return err
	}
	d.printf("filings answered=%d outcome_unknown=%d executions=%d most_of_one=%d", l.answered, l.unknown, executions, most)
	if most > 1 {
		l.err = errors.Join(l.err, fmt.Errorf("a non-idempotent call ran %d times", most))
	}
	return l.err
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
