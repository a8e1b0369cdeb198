// Package configdoc checks that the documentation pages agree with the code. The tables
// of docs/CONFIGURATION.md are generated from the doc comments and defaults of the
// settings; run the test with -update to write them.
package configdoc

import (
	"errors"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
	"merlintiller/internal/settings"
	"merlintiller/internal/strictyaml"
)

var update = flag.Bool("update", false, "write the tables of docs/CONFIGURATION.md")

const (
	root     = "../.."
	pagePath = root + "/docs/CONFIGURATION.md"
	heading  = "| Field | Unit | Default | Meaning |\n| --- | --- | --- | --- |\n"
)

// table is one generated table of the page.
type table struct {
	name     string
	value    reflect.Value
	required map[string]bool
}

func tables(t *testing.T) []table {
	fleet := []table{
		{name: "organisations", value: reflect.ValueOf(protocol.Organisation{}), required: newSet("id", "rate", "burst")},
		{name: "keys", value: reflect.ValueOf(protocol.Key{}), required: newSet("id", "organisation", "sha256")},
		{name: "models", value: reflect.ValueOf(protocol.Model{}), required: newSet("name", "service")},
		{name: "services", value: reflect.ValueOf(protocol.Service{}), required: newSet("name", "kind", "slots")},
		{name: "domains", value: reflect.ValueOf(protocol.DomainShare{}), required: newSet("domain", "share")},
	}
	files := []table{
		{name: "settings", value: reflect.ValueOf(*settings.Default()), required: requiredSettings(t, settings.Parse)},
		{name: "routed", value: reflect.ValueOf(*settings.DefaultRouted()), required: requiredSettings(t, settings.ParseRouted)},
	}
	return append(files, fleet...)
}

func newSet(names ...string) map[string]bool {
	out := map[string]bool{}
	for _, name := range names {
		out[name] = true
	}
	return out
}

// requiredSettings returns the fields that are reported as missing in an almost empty file.
func requiredSettings[S any](t *testing.T, parse func(string, []byte) (S, error)) map[string]bool {
	_, err := parse("s", []byte("log: {}\n"))
	var problems strictyaml.Problems
	require.True(t, errors.As(err, &problems))
	out := map[string]bool{}
	for _, problem := range problems {
		if strings.Contains(problem.Message, "is missing") {
			out[problem.Field] = true
		}
	}
	return out
}

// If the page named an outdated default or lacked a field, operators would write settings
// files from wrong information.
func TestConfigurationPageMatchesCode(t *testing.T) {
	data, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	page := string(data)
	comments := newComments(t)
	for _, table := range tables(t) {
		begin, end := "<!-- begin "+table.name+" -->\n", "<!-- end "+table.name+" -->"
		require.Contains(t, page, begin)
		head, rest, _ := strings.Cut(page, begin)
		old, tail, found := strings.Cut(rest, end)
		require.True(t, found, end)
		want := heading + rows(t, comments, table, table.value, "")
		if *update {
			page = head + begin + want + end + tail
			continue
		}
		requireEqualLines(t, table.name, want, old)
	}
	if *update {
		require.NoError(t, os.WriteFile(pagePath, []byte(page), 0o644))
	}
}

// requireEqualLines prints only the lines that differ, because they would be hard to find
// in the complete table.
func requireEqualLines(t *testing.T, name, want, got string) {
	t.Helper()
	missing, extra := linesMissingFrom(want, got), linesMissingFrom(got, want)
	if want == got {
		return
	}
	t.Fatalf("table %s of docs/CONFIGURATION.md differs from the code; run make docs\nmissing:\n%s\nextra:\n%s",
		name, strings.Join(missing, "\n"), strings.Join(extra, "\n"))
}

func linesMissingFrom(text, other string) []string {
	known := newSet(strings.Split(other, "\n")...)
	var out []string
	for _, line := range strings.Split(text, "\n") {
		if !known[line] {
			out = append(out, line)
		}
	}
	return out
}

// rows returns the table rows of the fields of a struct and, recursively, of its nested
// structs.
func rows(t *testing.T, comments *comments, table table, value reflect.Value, prefix string) string {
	var out strings.Builder
	for i := range value.NumField() {
		field := value.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		require.NotEmpty(t, name, "%s.%s has no yaml tag", value.Type(), field.Name)
		path := prefix + name
		inner := value.Field(i)
		switch {
		case field.Type.Kind() == reflect.Struct:
			out.WriteString(rows(t, comments, table, inner, path+"."))
		case field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct:
			out.WriteString(rows(t, comments, table, reflect.Zero(field.Type.Elem()), path+"[]."))
		default:
			meaning := comments.of(t, value.Type(), field.Name)
			fmt.Fprintf(&out, "| `%s` | %s | %s | %s |\n", path, unit(path, field.Type), defaultCell(table, path, inner), meaning)
		}
	}
	return out.String()
}

// unit returns the content of the column "Unit".
func unit(path string, kind reflect.Type) string {
	switch {
	case kind == reflect.TypeFor[time.Duration]():
		return "duration"
	case strings.HasSuffix(path, "_bytes"):
		return "bytes"
	case strings.HasPrefix(path, "listen.") || strings.HasPrefix(path, "platform.") || path == "seeds" || path == "store.address":
		return "ip:port"
	case strings.HasPrefix(path, "tls.") && kind.Kind() == reflect.String:
		return "file"
	}
	switch kind.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "text"
	case reflect.Slice:
		return "list"
	default:
		return "number"
	}
}

// defaultCell returns the content of the column "Default".
func defaultCell(table table, path string, value reflect.Value) string {
	if table.required[path] || strings.Contains(path, "[].") {
		return "required"
	}
	if value.IsZero() && !value.CanFloat() {
		return "none"
	}
	if duration, ok := value.Interface().(time.Duration); ok {
		return "`" + shortDuration(duration) + "`"
	}
	return fmt.Sprintf("`%v`", value.Interface())
}

// shortDuration formats a duration without the trailing zero units of Duration.String.
func shortDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// comments reads the doc comments of struct fields from the source and caches them.
type comments struct {
	// packages holds the comments by package folder and "Type.Field".
	packages map[string]map[string]string
}

func newComments(*testing.T) *comments { return &comments{packages: map[string]map[string]string{}} }

func (c *comments) of(t *testing.T, owner reflect.Type, field string) string {
	dir := strings.TrimPrefix(owner.PkgPath(), "merlintiller/")
	if c.packages[dir] == nil {
		c.packages[dir] = fieldComments(t, filepath.Join(root, dir))
	}
	text := c.packages[dir][owner.Name()+"."+field]
	require.NotEmpty(t, text, "%s.%s has no doc comment", owner, field)
	return text
}

// fieldComments returns the doc comments of all struct fields in a folder, by
// "Type.Field".
func fieldComments(t *testing.T, dir string) map[string]string {
	found := map[string]string{}
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	require.NoError(t, err)
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		require.NoError(t, err)
		ast.Inspect(file, func(node ast.Node) bool {
			spec, ok := node.(*ast.TypeSpec)
			if !ok {
				return true
			}
			if structure, ok := spec.Type.(*ast.StructType); ok {
				for _, field := range structure.Fields.List {
					for _, name := range field.Names {
						found[spec.Name.Name+"."+name.Name] = tableCell(field.Doc)
					}
				}
			}
			return false
		})
	}
	return found
}

// tableCell formats a doc comment as one table cell.
func tableCell(doc *ast.CommentGroup) string {
	text := strings.Join(strings.Fields(doc.Text()), " ")
	return strings.ReplaceAll(text, "|", "\\|")
}
