package routed

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
	"merlintiller/internal/wait"
)

// Guards against an item that targets answer with an error again and again, without bound: they take longer for that
// than an instance waits for the first event, and do not notice that it has closed the connection.
func TestItemThatFailsSlowlyStops(t *testing.T) {
	const attempts = 3
	for status, allowed := range map[int]int{http.StatusInternalServerError: 3 * attempts, http.StatusUnprocessableEntity: 3} {
		for _, takes := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second} {
			t.Run(fmt.Sprint(status, " after ", takes), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					answered, after := 0, 0
					fleet := newTestFleet(t, fleetSize{domains: 3, instances: 2, targets: 2, engine: engine.Options{
						Slots: 8, QueueSize: 24, EventInterval: 20 * time.Millisecond,
						FaultFor: func(string) engine.Fault {
							if answered >= allowed {
								after++
							}
							wait.For(t.Context(), takes)
							answered++
							return engine.Fault{Status: status}
						},
					}})
					require.Equal(t, http.StatusAccepted, fleet.instances[0].send(batchJob("job", 1, 40)).status)
					sleep(50 * time.Second)
					t.Logf("%d answers", answered)
					require.NotZero(t, answered)
					require.Zero(t, after, "runs that began after as many answers as are allowed")
				})
			})
		}
	}
}
