// Package configdoc keeps docs/CONFIGURATION.md true: its tables must say of
// every field what the code says. Run its test with -update to write them.
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
	document = root + "/docs/CONFIGURATION.md"
	heading  = "| Field | Unit | Default | Meaning |\n| --- | --- | --- | --- |\n"
)

// table is one generated part of the document.
type table struct {
	name     string
	value    reflect.Value
	required map[string]bool
}

func tables(t *testing.T) []table {
	fleet := []table{
		{name: "organisations", value: reflect.ValueOf(protocol.Organisation{}), required: set("id", "rate", "burst")},
		{name: "keys", value: reflect.ValueOf(protocol.Key{}), required: set("id", "organisation", "sha256")},
		{name: "models", value: reflect.ValueOf(protocol.Model{}), required: set("name", "service")},
		{name: "services", value: reflect.ValueOf(protocol.Service{}), required: set("name", "kind", "slots")},
		{name: "domains", value: reflect.ValueOf(protocol.DomainShare{}), required: set("domain", "share")},
	}
	files := []table{
		{name: "settings", value: reflect.ValueOf(*settings.Default()), required: requiredSettings(t, settings.Parse)},
		{name: "routed", value: reflect.ValueOf(*settings.DefaultRouted()), required: requiredSettings(t, settings.ParseRouted)},
	}
	return append(files, fleet...)
}

func set(names ...string) map[string]bool {
	out := map[string]bool{}
	for _, name := range names {
		out[name] = true
	}
	return out
}

// requiredSettings are the fields that an almost empty file is told to lack.
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

func TestConfigurationPageIsTrue(t *testing.T) {
	data, err := os.ReadFile(document)
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
		requireSameLines(t, table.name, want, old)
	}
	if *update {
		require.NoError(t, os.WriteFile(document, []byte(page), 0o644))
	}
}

// requireSameLines names only the lines that differ: the whole table would hide
// them.
func requireSameLines(t *testing.T, name, want, got string) {
	t.Helper()
	missing, extra := linesNotIn(want, got), linesNotIn(got, want)
	if want == got {
		return
	}
	t.Fatalf("table %s of docs/CONFIGURATION.md differs from the code; run make docs\nmissing:\n%s\nextra:\n%s",
		name, strings.Join(missing, "\n"), strings.Join(extra, "\n"))
}

func linesNotIn(text, other string) []string {
	known := set(strings.Split(other, "\n")...)
	var out []string
	for _, line := range strings.Split(text, "\n") {
		if !known[line] {
			out = append(out, line)
		}
	}
	return out
}

// rows describes the fields of a struct, each group behind its own fields.
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
			fmt.Fprintf(&out, "| `%s` | %s | %s | %s |\n", path, unit(path, field.Type), preset(table, path, inner), meaning)
		}
	}
	return out.String()
}

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

func preset(table table, path string, value reflect.Value) string {
	if table.required[path] || strings.Contains(path, "[].") {
		return "required"
	}
	if value.IsZero() && !value.CanFloat() {
		return "none"
	}
	if duration, ok := value.Interface().(time.Duration); ok {
		return "`" + short(duration) + "`"
	}
	return fmt.Sprintf("`%v`", value.Interface())
}

// short drops the zero parts that Duration.String shows.
func short(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// comments finds the doc comments of fields in the source.
type comments struct {
	packages map[string]map[string]string
}

func newComments(*testing.T) *comments { return &comments{packages: map[string]map[string]string{}} }

func (c *comments) of(t *testing.T, owner reflect.Type, field string) string {
	dir := strings.TrimPrefix(owner.PkgPath(), "merlintiller/")
	if c.packages[dir] == nil {
		c.packages[dir] = parse(t, filepath.Join(root, dir))
	}
	text := c.packages[dir][owner.Name()+"."+field]
	require.NotEmpty(t, text, "%s.%s has no doc comment", owner, field)
	return text
}

func parse(t *testing.T, dir string) map[string]string {
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
						found[spec.Name.Name+"."+name.Name] = sentence(field.Doc)
					}
				}
			}
			return false
		})
	}
	return found
}

// sentence makes a doc comment one table cell.
func sentence(doc *ast.CommentGroup) string {
	text := strings.Join(strings.Fields(doc.Text()), " ")
	return strings.ReplaceAll(text, "|", "\\|")
}
