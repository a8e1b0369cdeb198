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

// Callers' programs branch on the error codes. They do not handle a code that is missing
// from the page or that has another status there.
func TestEveryErrorCodeIsDocumented(t *testing.T) {
	source, err := os.ReadFile(root + "/internal/protocol/runstate.go")
	require.NoError(t, err)
	page, err := os.ReadFile(root + "/docs/API.md")
	require.NoError(t, err)
	inCode, documented := map[string]bool{}, map[string]bool{}
	for _, match := range codeInCode.FindAllStringSubmatch(string(source), -1) {
		inCode[match[1]] = true
	}
	for _, match := range codeRow.FindAllStringSubmatch(string(page), -1) {
		documented[match[1]] = true
		require.Equal(t, fmt.Sprint(protocol.Code(match[1]).HTTPStatus()), match[2], match[1])
	}
	requireSameNames(t, inCode, documented, "error code")
}
