package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// maxBytes bounds a file, so that a wrong path can't fill the memory.
const maxBytes = 16 << 20

// Document is a decoded file that remembers where each field stands.
type Document struct {
	file     string
	lines    map[string]int
	problems Problems
}

// Decode reads one YAML document into out, a pointer to a struct whose fields
// have yaml tags. Fields that the file leaves out keep their value. Mistakes
// are collected in the document, see Problems.
func Decode(file string, data []byte, out any) *Document {
	doc := &Document{file: file, lines: map[string]int{}}
	if len(data) > maxBytes {
		doc.add(0, "", fmt.Sprintf("larger than %d bytes", maxBytes))
		return doc
	}
	root, ok := doc.parse(data)
	if !ok {
		return doc
	}
	doc.value(root, "", reflect.ValueOf(out).Elem())
	return doc
}

// parse gives the root node. It is not ok if the file is empty or malformed.
func (d *Document) parse(data []byte) (*yaml.Node, bool) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var node yaml.Node
	err := decoder.Decode(&node)
	if errors.Is(err, io.EOF) {
		d.add(0, "", "is empty")
		return nil, false
	}
	if err != nil {
		d.add(0, "", strings.TrimPrefix(err.Error(), "yaml: "))
		return nil, false
	}
	var second yaml.Node
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		d.add(second.Line, "", "holds more than one document")
		return nil, false
	}
	if node.Kind != yaml.DocumentNode || len(node.Content) != 1 {
		d.add(0, "", "is empty")
		return nil, false
	}
	return node.Content[0], true
}

// Problems gives the mistakes found so far.
func (d *Document) Problems() Problems { return d.problems }

// Report adds a mistake in a field, on the line where the field stands or, if
// the file leaves it out, where the nearest field around it stands.
func (d *Document) Report(field, format string, args ...any) {
	d.add(d.Line(field), field, fmt.Sprintf(format, args...))
}

// Has reports whether the file gives a field.
func (d *Document) Has(field string) bool {
	_, ok := d.lines[field]
	return ok
}

// Line is the line of a field or of the nearest field around it.
func (d *Document) Line(field string) int {
	for {
		if line, ok := d.lines[field]; ok {
			return line
		}
		if field == "" {
			return 1
		}
		field = parent(field)
	}
}

func parent(field string) string {
	cut := strings.LastIndexAny(field, ".[")
	if cut < 0 {
		return ""
	}
	return field[:cut]
}

func (d *Document) add(line int, field, message string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Field: field, Message: message})
}

// value decodes one node of any kind.
func (d *Document) value(node *yaml.Node, field string, out reflect.Value) {
	d.lines[field] = node.Line
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		// Nested aliases grow without bound while they are resolved.
		d.add(node.Line, field, "anchors and aliases are not allowed")
		return
	}
	switch {
	case out.Kind() == reflect.Struct:
		d.mapping(node, field, out)
	case out.Kind() == reflect.Slice:
		d.sequence(node, field, out)
	default:
		d.scalar(node, field, out)
	}
}

func (d *Document) mapping(node *yaml.Node, field string, out reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.add(node.Line, field, "must hold named fields")
		return
	}
	known := fieldsOf(out.Type())
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		path := join(field, key.Value)
		index, ok := known[key.Value]
		switch {
		case key.Kind != yaml.ScalarNode || !ok:
			d.add(key.Line, path, unknownField(key.Value, known))
		case seen[key.Value]:
			d.add(key.Line, path, "stands twice")
		default:
			seen[key.Value] = true
			d.value(node.Content[i+1], path, out.Field(index))
			d.lines[path] = key.Line
		}
	}
}

func (d *Document) sequence(node *yaml.Node, field string, out reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.add(node.Line, field, "must be a list")
		return
	}
	list := reflect.MakeSlice(out.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		d.value(item, field+"["+strconv.Itoa(i)+"]", list.Index(i))
	}
	out.Set(list)
}

var durationType = reflect.TypeFor[time.Duration]()

func (d *Document) scalar(node *yaml.Node, field string, out reflect.Value) {
	if node.Kind != yaml.ScalarNode {
		d.add(node.Line, field, "must be "+describe(out.Type()))
		return
	}
	if node.Tag == "!!null" {
		d.add(node.Line, field, "has no value; it must be "+describe(out.Type()))
		return
	}
	if out.Type() == durationType {
		d.duration(node, field, out)
		return
	}
	fresh := reflect.New(out.Type())
	if err := node.Decode(fresh.Interface()); err != nil {
		d.add(node.Line, field, fmt.Sprintf("%q must be %s", node.Value, describe(out.Type())))
		return
	}
	out.Set(fresh.Elem())
}

func (d *Document) duration(node *yaml.Node, field string, out reflect.Value) {
	value, err := time.ParseDuration(node.Value)
	if err != nil || node.Value == "0" {
		d.add(node.Line, field, fmt.Sprintf("%q must be a time with its unit, such as 500ms, 2s or 24h", node.Value))
		return
	}
	out.SetInt(int64(value))
}

func describe(t reflect.Type) string {
	if t == durationType {
		return "a time with its unit, such as 500ms, 2s or 24h"
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "a text"
	}
}

// fieldsOf maps the names of a struct's fields in YAML to their index.
func fieldsOf(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}
