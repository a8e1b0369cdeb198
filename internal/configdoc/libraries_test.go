package configdoc

import (
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	directRequire = regexp.MustCompile(`(?m)^\t(\S+) v\S+$`)
	libraryRow    = regexp.MustCompile("(?m)^\\| `([a-z0-9.]+\\.[a-z]+/[^`]+)` \\| [^|]+ \\| [^|]+ \\|$")
)

// Every library is code that somebody must trust and update. One that is used
// without a stated reason, or listed and long gone, is noticed here.
func TestEveryLibraryHasAReason(t *testing.T) {
	module, err := os.ReadFile(root + "/go.mod")
	require.NoError(t, err)
	page, err := os.ReadFile(root + "/docs/HOUSE-STYLE.md")
	require.NoError(t, err)
	used := map[string]bool{}
	for _, match := range directRequire.FindAllStringSubmatch(string(module), -1) {
		used[match[1]] = true
	}
	for _, match := range regexp.MustCompile(`(?m)^tool (\S+)$`).FindAllStringSubmatch(string(module), -1) {
		used[match[1]] = true
	}
	listed := map[string]bool{}
	for _, match := range libraryRow.FindAllStringSubmatch(string(page), -1) {
		listed[match[1]] = true
	}
	requireSame(t, used, listed, "library")
}

// requireSame compares what the code has with what a page explains.
func requireSame(t *testing.T, inCode, explained map[string]bool, kind string) {
	t.Helper()
	require.NotEmpty(t, inCode)
	for name := range inCode {
		if !explained[name] {
			t.Errorf("%s %s has no row in the page", kind, name)
		}
	}
	for name := range explained {
		if !inCode[name] {
			t.Errorf("%s %s stands in the page and not in the code", kind, name)
		}
	}
}
