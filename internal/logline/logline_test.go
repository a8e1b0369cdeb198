package logline

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// lines keeps what was logged.
type lines struct {
	mu  sync.Mutex
	all []string
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, strings.TrimSpace(string(p)))
	return len(p), nil
}

func (l *lines) with(part string) (found []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.all {
		if strings.Contains(line, part) {
			found = append(found, line)
		}
	}
	return found
}

// Whoever reads the output has stopped, and the pipe is full. A request that
// waited for its line would wait for good; callers would see an instance that
// hangs because of its log.
func TestStoppedReaderDelaysNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, pipe := io.Pipe()
		w := NewWriter(pipe)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = w.Serve(ctx)
		}()
		began := time.Now()
		for range 3 * capacity {
			n, err := w.Write([]byte("event=request\n"))
			require.NoError(t, err)
			require.Equal(t, len("event=request\n"), n)
		}
		require.Equal(t, began, time.Now(), "virtual time passes only if somebody waits")
		// The reader comes back and is told what it missed.
		data := make([]byte, 1<<10)
		_, err := reader.Read(data)
		require.NoError(t, err)
		n, err := reader.Read(data)
		require.NoError(t, err)
		require.Contains(t, string(data[:n]), "event=log_dropped lines=")
		require.NoError(t, reader.CloseWithError(errors.New("gone")))
		cancel()
		<-ended
	})
}

// Every request fails at once, thousands a second. Its lines must not take the
// processor, nor hide the single line that tells why.
func TestFloodOfOneKindIsBoundedAndHidesNoOther(t *testing.T) {
	var got lines
	now := time.Unix(1_000, 0)
	b := NewBudget(log.NewLogfmtLogger(&got), func() time.Time { return now })
	const seconds, perSecond = 10, 5000
	for n := range seconds * perSecond {
		now = now.Add(time.Second / perSecond)
		require.NoError(t, b.Log("event", "request", "request", n, "outcome", "failed"))
		if n%perSecond == 0 {
			require.NoError(t, b.Log("event", "config_in_force", "version", n))
		}
	}
	require.LessOrEqual(t, len(got.with("event=request ")), seconds*linesEach+burstEach)
	require.Greater(t, len(got.with("event=request ")), seconds*linesEach/2)
	require.Len(t, got.with("event=config_in_force"), seconds)
	require.Len(t, got.with("event=lines_left_out of=request/failed"), seconds-1)
}

// Many kinds of trouble come together. Each is within its own bound, and all of
// them would still be too much.
func TestAllKindsTogetherAreBounded(t *testing.T) {
	var got lines
	now := time.Unix(1_000, 0)
	b := NewBudget(log.NewLogfmtLogger(&got), func() time.Time { return now })
	for n := range 20_000 {
		now = now.Add(time.Millisecond / 4)
		require.NoError(t, b.Log("event", "request", "outcome", n%40))
	}
	require.LessOrEqual(t, len(got.with("event=request ")), 5*linesAll+burstAll)
}

func TestOrdinaryLinesPassAsTheyAre(t *testing.T) {
	var got lines
	b := NewBudget(log.NewLogfmtLogger(&got), time.Now)
	require.NoError(t, b.Log("level", "info", "event", "started", "instance", "a"))
	require.Equal(t, []string{"level=info event=started instance=a"}, got.all)
}
