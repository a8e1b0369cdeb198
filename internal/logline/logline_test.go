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

// capturedLines keeps the logged lines.
type capturedLines struct {
	mu  sync.Mutex
	all []string
}

func (l *capturedLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, strings.TrimSpace(string(p)))
	return len(p), nil
}

func (l *capturedLines) containing(part string) (found []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.all {
		if strings.Contains(line, part) {
			found = append(found, line)
		}
	}
	return found
}

// The reader of the output has stopped, and the pipe is full. If a request waited until
// its log line is written, it would wait forever, and the instance would stop responding.
func TestStoppedReaderDoesNotBlockWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, pipe := io.Pipe()
		w := NewWriter(pipe)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = w.Serve(ctx)
		}()
		_, err := w.Write([]byte("event=request\n"))
		require.NoError(t, err)
		// The writer has taken the first line and waits for the reader. Otherwise the number of
		// dropped lines may come with that line.
		synctest.Wait()
		began := time.Now()
		for range 3 * queueCapacity {
			n, err := w.Write([]byte("event=request\n"))
			require.NoError(t, err)
			require.Equal(t, len("event=request\n"), n)
		}
		require.Equal(t, began, time.Now(), "virtual time passes only while a goroutine waits")
		// The reader continues and receives the number of dropped lines.
		data := make([]byte, 1<<10)
		_, err = reader.Read(data)
		require.NoError(t, err)
		n, err := reader.Read(data)
		require.NoError(t, err)
		require.Contains(t, string(data[:n]), "event=log_dropped lines=")
		require.NoError(t, reader.CloseWithError(errors.New("reader closed")))
		cancel()
		<-ended
	})
}

// Guards against a process that exits while its last line is being written: the line that
// says how it ended is lost.
func TestStopWritesEveryLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got slowLines
		w := NewWriter(&got)
		stop := w.Start()
		_, _ = w.Write([]byte("event=left\n"))
		synctest.Wait()
		_, _ = w.Write([]byte("event=stopped\n"))
		stop()
		require.Equal(t, []string{"event=left", "event=stopped"}, got.all)
	})
}

// Guards against a process that never exits because the reader of its output has stopped.
func TestStoppedReaderDoesNotHoldUpStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, pipe := io.Pipe()
		w := NewWriter(pipe)
		stop := w.Start()
		for range 3 {
			_, _ = w.Write([]byte("event=left\n"))
		}
		began := time.Now()
		stop()
		require.Equal(t, flushTimeout, time.Since(began))
		require.NoError(t, reader.Close())
	})
}

// slowLines is an output to which each line takes a while to write.
type slowLines struct{ capturedLines }

func (l *slowLines) Write(p []byte) (int, error) {
	<-time.After(time.Millisecond)
	return l.capturedLines.Write(p)
}

// Thousands of requests a second fail. Their lines must neither use up the processor
// time nor displace the single line that shows the cause.
func TestManyLinesOfOneKindAreLimitedAndDisplaceNoOther(t *testing.T) {
	var got capturedLines
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
	require.LessOrEqual(t, len(got.containing("event=request ")), seconds*kindLinesPerSecond+kindBurst)
	require.Greater(t, len(got.containing("event=request ")), seconds*kindLinesPerSecond/2)
	require.Len(t, got.containing("event=config_in_force"), seconds)
	require.Len(t, got.containing("event=lines_left_out of=request/failed"), seconds-1)
}

// Many kinds of faults occur at the same time. The lines of each kind are within its
// limit, but all kinds together would be too many.
func TestAllKindsTogetherAreLimited(t *testing.T) {
	var got capturedLines
	now := time.Unix(1_000, 0)
	b := NewBudget(log.NewLogfmtLogger(&got), func() time.Time { return now })
	for n := range 20_000 {
		now = now.Add(time.Millisecond / 4)
		require.NoError(t, b.Log("event", "request", "outcome", n%40))
	}
	require.LessOrEqual(t, len(got.containing("event=request ")), 5*totalLinesPerSecond+totalBurst)
}

func TestLinesWithinTheLimitsAreUnchanged(t *testing.T) {
	var got capturedLines
	b := NewBudget(log.NewLogfmtLogger(&got), time.Now)
	require.NoError(t, b.Log("level", "info", "event", "started", "instance", "a"))
	require.Equal(t, []string{"level=info event=started instance=a"}, got.all)
}
