package configdoc

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	eventInCode  = regexp.MustCompile(`"event", "([a-z_]+)"|\.event\("([a-z_]+)"|"event=([a-z_]+) `)
	metricInCode = regexp.MustCompile(`expvar\.New[A-Za-z]+\("([^"]+)"\)|metrics\.(?:New|GetOrCreate|WriteGauge)[A-Za-z0-9]*\((?:w, )?(?:fmt\.Sprintf\()?[` + "`" + `"]([a-z_]+)`)
	eventRow     = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| [^|]+ \\| [^|]+ \\|$")
	backQuoted   = regexp.MustCompile("`([^`]+)`")
)

// namesInCode returns the names that a pattern captures in the code, test files excluded.
func namesInCode(t *testing.T, pattern *regexp.Regexp) map[string]bool {
	t.Helper()
	out := map[string]bool{}
	for _, dir := range []string{"internal", "cmd", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			data, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for _, match := range pattern.FindAllStringSubmatch(string(data), -1) {
				out[strings.Join(match[1:], "")] = true
			}
			return nil
		})
		require.NoError(t, err)
	}
	return out
}

// section returns the text of one section of docs/OPERATIONS.md.
func section(t *testing.T, heading string) string {
	t.Helper()
	data, err := os.ReadFile(root + "/docs/OPERATIONS.md")
	require.NoError(t, err)
	_, rest, ok := strings.Cut(string(data), "\n## "+heading+"\n")
	require.True(t, ok, heading)
	text, _, _ := strings.Cut(rest, "\n## ")
	return text
}

// An unknown log event alerts the operator on call. If the page did not document it, the
// operator would have to read the code during an incident. If the page listed events that
// no longer exist, operators would not trust it.
func TestEveryLogEventIsDocumented(t *testing.T) {
	documented := map[string]bool{}
	for _, match := range eventRow.FindAllStringSubmatch(section(t, "Log events"), -1) {
		documented[match[1]] = true
	}
	requireSameNames(t, namesInCode(t, eventInCode), documented, "log event")
}

func TestEveryMetricIsDocumented(t *testing.T) {
	text := section(t, "Metrics")
	documented := map[string]bool{}
	for _, line := range strings.Split(text, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 3 {
			continue
		}
		for _, match := range backQuoted.FindAllStringSubmatch(cells[1], -1) {
			documented[match[1]] = true
		}
	}
	requireSameNames(t, namesInCode(t, metricInCode), documented, "metric")
}
