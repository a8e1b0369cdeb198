package configdoc

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

var (
	codeInCode = regexp.MustCompile(`(?m)^\tCode[A-Za-z]+ +Code = "([a-z_]+)"$`)
	codeRow    = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([0-9]{3}) \\| [^|]+ \\|$")
)

// Callers' programs branch on the codes. A code that the page leaves out, or
// names with another status, is one that nobody handles.
func TestEveryErrorCodeIsExplained(t *testing.T) {
	source, err := os.ReadFile(root + "/internal/protocol/runstate.go")
	require.NoError(t, err)
	page, err := os.ReadFile(root + "/docs/API.md")
	require.NoError(t, err)
	inCode, explained := map[string]bool{}, map[string]bool{}
	for _, match := range codeInCode.FindAllStringSubmatch(string(source), -1) {
		inCode[match[1]] = true
	}
	for _, match := range codeRow.FindAllStringSubmatch(string(page), -1) {
		explained[match[1]] = true
		require.Equal(t, fmt.Sprint(protocol.Code(match[1]).HTTPStatus()), match[2], match[1])
	}
	requireSame(t, inCode, explained, "error code")
}
