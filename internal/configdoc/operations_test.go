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

// found collects what a pattern captures in the code that is no test.
func found(t *testing.T, pattern *regexp.Regexp) map[string]bool {
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

func section(t *testing.T, heading string) string {
	t.Helper()
	data, err := os.ReadFile(root + "/docs/OPERATIONS.md")
	require.NoError(t, err)
	_, rest, ok := strings.Cut(string(data), "\n## "+heading+"\n")
	require.True(t, ok, heading)
	text, _, _ := strings.Cut(rest, "\n## ")
	return text
}

// An event wakes the person on call, who has never seen it. If the page did not
// have it they would have to read the code at night; if it had events that are
// long gone, they would not trust it.
func TestEveryLogEventIsExplained(t *testing.T) {
	explained := map[string]bool{}
	for _, match := range eventRow.FindAllStringSubmatch(section(t, "Log events"), -1) {
		explained[match[1]] = true
	}
	requireSame(t, found(t, eventInCode), explained, "log event")
}

func TestEveryMetricIsExplained(t *testing.T) {
	text := section(t, "Metrics")
	explained := map[string]bool{}
	for _, line := range strings.Split(text, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 3 {
			continue
		}
		for _, match := range backQuoted.FindAllStringSubmatch(cells[1], -1) {
			explained[match[1]] = true
		}
	}
	requireSame(t, found(t, metricInCode), explained, "metric")
}
