package itemrun

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/standin/rawanswer"
	"merlintiller/internal/standin/target"
	"merlintiller/internal/transport/targethttp"
)

// Guards against an item that counts as done with a short result, since its target stopped within its answer, in the
// head at any byte or in the body, and closed.
func TestAnswerThatIsCutIsNoWholeResult(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			standin := target.New(target.Config{ID: "t"})
			cut, length := 1<<20, 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				whole := rawanswer.Recorded(standin, r, chunked)
				length = len(whole)
				rawanswer.SendCut(w, whole, cut)
			}))
			t.Cleanup(server.Close)
			at := slot{coordination.Pick{Target: "t", Address: strings.TrimPrefix(server.URL, "http://")}}
			run := func() batch.ItemOutcome {
				return New(Options{Target: targethttp.New(targethttp.Options{})}).Run(t.Context(), at, item(body))
			}
			whole := run()
			require.Equal(t, batch.Done, whole.Kind)
			require.Equal(t, target.AnswerText(target.ChatPrompt("valve"), 8), content(t, whole.Result.Body))
			for cut = range length {
				outcome := run()
				if outcome.Kind == batch.Done && outcome.Result.Code == "" {
					// The end mark of the stream came before its last chunk.
					require.True(t, chunked, "cut at %d of %d: %s", cut, length, outcome.Result.Body)
					require.Equal(t, content(t, whole.Result.Body), content(t, outcome.Result.Body), "cut at %d of %d", cut, length)
				}
			}
		})
	}
}
