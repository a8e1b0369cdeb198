package answerbuffer

import (
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against callers that lag far and take the room of those that lag little, and against
// answers that leave no room for request bodies.
func TestDecisionsOnHeldBytes(t *testing.T) {
	for name, c := range map[string]struct {
		levels    Levels
		own, size int64
		want      Verdict
	}{
		"empty":                            {Levels{Bound: 1000}, 0, 700, Fits},
		"one answer may use the share":     {Levels{Bound: 1000, Answers: 700, Holders: 1}, 700, 50, Fits},
		"more than the share":              {Levels{Bound: 1000, Answers: 700, Holders: 1}, 700, 51, OverBound},
		"below half, any":                  {Levels{Bound: 1000, Answers: 400, Holders: 4}, 380, 100, Fits},
		"above half, over the mean":        {Levels{Bound: 1000, Answers: 500, Holders: 4}, 126, 1, OverMean},
		"above half, at the mean":          {Levels{Bound: 1000, Answers: 500, Holders: 4}, 125, 1, Fits},
		"above half, nothing held":         {Levels{Bound: 1000, Answers: 600, Holders: 2}, 0, 100, Fits},
		"bodies count toward what is used": {Levels{Bound: 1000, Answers: 100, Bodies: 650, Holders: 1}, 100, 1, OverBound},
		"bodies over the answers' share":   {Levels{Bound: 1000, Bodies: 900}, 0, 1, OverBound},
	} {
		require.Equal(t, c.want, c.levels.Answer(c.own, c.size), name)
	}
	full := Levels{Bound: 1000, Answers: 750}
	require.True(t, full.Body(250))
	require.False(t, full.Body(251))
}

// Guards against bytes that are lost, doubled or reordered in a buffer, and against counts that
// drift from what is held: a bound that is never reached, or memory that is never free again.
func TestAnyOrderOfCallsKeepsBytesAndCounts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	budget := NewBudget(20_000)
	type answer struct {
		*Buffer
		added, read strings.Builder
	}
	answers := make([]*answer, 8)
	for i := range answers {
		answers[i] = &answer{Buffer: NewBuffer(budget)}
	}
	refused := 0
	for step := range 20_000 {
		now := start.Add(time.Duration(step) * time.Millisecond)
		a := answers[random.IntN(len(answers))]
		switch random.IntN(12) {
		case 0, 1, 2, 3, 4, 5:
			part := []byte(strings.Repeat(string(rune('a'+step%26)), 1+random.IntN(900)))
			if a.Append(now, part) == Fits {
				a.added.Write(part)
			} else {
				refused++
			}
			clear(part)
		case 6:
			a.Lend(now, []byte("lent"))
			a.added.WriteString("lent")
		case 7:
			if random.IntN(50) == 0 {
				a.Discard()
				a.added.Reset()
				a.read.Reset()
			}
		default:
			parts, size := a.Next(nil, 1+random.IntN(2000))
			for _, part := range parts {
				a.read.Write(part)
			}
			a.Advance(now, size)
		}
		var counted int64
		holders := 0
		for _, a := range answers {
			counted += a.Counted()
			if a.Counted() > 0 {
				holders++
			}
		}
		levels := budget.Levels()
		require.Equal(t, counted, levels.Answers)
		require.Equal(t, holders, levels.Holders)
		require.LessOrEqual(t, levels.Answers, int64(15_000))
		require.True(t, strings.HasPrefix(a.added.String(), a.read.String()))
	}
	require.Greater(t, refused, 1000, "the bound was not reached often")
	for _, a := range answers {
		_, size := a.Next(nil, 1<<30)
		a.Advance(start, size)
		require.True(t, a.Empty())
	}
	require.Zero(t, budget.Levels().Answers)
	require.Zero(t, budget.Levels().Holders)
}

// Guards against a stopped read that is not continued though there is room, and against one
// that is woken by each byte that is freed: 500 answers would then spend the processor on it.
func TestWaitEndsOnceThereIsRoomForAll(t *testing.T) {
	budget := NewBudget(1000)
	require.True(t, budget.TakeBody(400))
	require.True(t, budget.TakeBody(500))
	relieved, stop := budget.Relieved()
	defer stop()
	budget.ReturnBody(399)
	select {
	case <-relieved:
		t.Fatal("woken at 501 of 1000 bytes")
	default:
	}
	budget.ReturnBody(1)
	<-relieved
}

// Guards against a lag that hides the parts that were never read.
func TestLagCountsUnreadParts(t *testing.T) {
	b := NewBuffer(NewBudget(1000))
	require.Equal(t, Fits, b.Append(start, []byte("one")))
	require.Equal(t, Fits, b.Append(start.Add(time.Second), []byte("two")))
	b.Advance(start.Add(2*time.Second), 4)
	require.Equal(t, Stats{PeakBytes: 6, Lag: 2 * time.Second}, b.Stats(start.Add(2*time.Second)))
	require.Equal(t, Stats{PeakBytes: 6, Lag: 4 * time.Second}, b.Stats(start.Add(5*time.Second)))
}

// Guards against a count that is below the memory that held parts take, so that the process exceeds
// its memory within the bound: 500 answers of small events, and of parts of 4 KB.
func TestCountCoversMemory(t *testing.T) {
	for name, c := range map[string]struct{ size, parts int }{"events": {60, 400}, "large parts": {4 << 10, 12}} {
		t.Run(name, func(t *testing.T) {
			budget := NewBudget(1 << 30)
			buffers := make([]*Buffer, 500)
			part := make([]byte, c.size)
			before := heapInUse()
			for i := range buffers {
				buffers[i] = NewBuffer(budget)
				for range c.parts {
					require.Equal(t, Fits, buffers[i].Append(start, part))
				}
			}
			used := heapInUse() - before
			counted := budget.Levels().Answers
			t.Logf("%d bytes held, %d counted, %d of memory", len(buffers)*c.size*c.parts, counted, used)
			require.LessOrEqual(t, used, counted*105/100)
			require.LessOrEqual(t, counted, int64(len(buffers)*c.size*c.parts)*3/2)
			runtime.KeepAlive(buffers)
		})
	}
}

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
