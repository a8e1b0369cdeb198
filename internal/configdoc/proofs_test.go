package configdoc

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	// qualifiedTest matches a test as docs/PROOFS.md names it: `package.TestName`.
	qualifiedTest = regexp.MustCompile("`([a-z0-9/]+)\\.((?:Test|Fuzz)[A-Za-z0-9_]+)`")
	testFunc      = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Za-z0-9_]+)\(`)
	// anyTestName matches a test name with or without its package.
	anyTestName = regexp.MustCompile(`\b(?:Test|Fuzz)[A-Z][A-Za-z0-9_]+`)
)

// A test is renamed or deleted and the page still names it. A reader would then assume that
// a guarantee is tested although no test checks it any more.
func TestEveryTestNamedInDocsExists(t *testing.T) {
	for _, page := range []string{"docs/PROOFS.md", "docs/TROUBLE.md"} {
		data, err := os.ReadFile(root + "/" + page)
		require.NoError(t, err)
		named := qualifiedTest.FindAllStringSubmatch(string(data), -1)
		require.NotEmpty(t, named)
		require.Len(t, anyTestName.FindAllString(string(data), -1), len(named), "%s: a test is named without its package", page)
		known := map[string]map[string]bool{}
		for _, match := range named {
			if known[match[1]] == nil {
				known[match[1]] = testNames(t, filepath.Join(root, "internal", match[1]))
			}
			require.True(t, known[match[1]][match[2]], "%s names %s in %s, which has no such test", page, match[2], match[1])
		}
	}
}

func testNames(t *testing.T, dir string) map[string]bool {
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	require.NoError(t, err)
	require.NotEmpty(t, files, "%s has no tests", dir)
	found := map[string]bool{}
	for _, name := range files {
		data, err := os.ReadFile(name)
		require.NoError(t, err)
		for _, match := range testFunc.FindAllStringSubmatch(string(data), -1) {
			found[match[1]] = true
		}
	}
	return found
}
