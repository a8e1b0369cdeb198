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

// maxFileBytes bounds the size of a file, so that a wrong path cannot exhaust the memory.
const maxFileBytes = 16 << 20

// Document is a decoded file with the line of each field and the mistakes found in it.
type Document struct {
	file     string
	lines    map[string]int
	problems Problems
}

// Decode decodes one YAML document into out, a pointer to a struct whose fields
// have yaml tags. Fields that are not in the file keep their value. The returned
// document collects all mistakes; see Problems.
func Decode(file string, data []byte, out any) *Document {
	doc := &Document{file: file, lines: map[string]int{}}
	if len(data) > maxFileBytes {
		doc.add(0, "", fmt.Sprintf("larger than %d bytes", maxFileBytes))
		return doc
	}
	root, ok := doc.parse(data)
	if !ok {
		return doc
	}
	doc.decodeValue(root, "", reflect.ValueOf(out).Elem())
	return doc
}

// parse returns the root node. It returns false if the file is empty or malformed.
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
		d.add(second.Line, "", "contains more than one document")
		return nil, false
	}
	if node.Kind != yaml.DocumentNode || len(node.Content) != 1 {
		d.add(0, "", "is empty")
		return nil, false
	}
	return node.Content[0], true
}

// Problems returns the mistakes found so far.
func (d *Document) Problems() Problems { return d.problems }

// Report records a mistake in a field, with the line that Line returns.
func (d *Document) Report(field, format string, args ...any) {
	d.add(d.Line(field), field, fmt.Sprintf(format, args...))
}

// Has reports whether the file contains a field.
func (d *Document) Has(field string) bool {
	_, ok := d.lines[field]
	return ok
}

// Line returns the line of a field or, if the file does not contain it, the line of the
// innermost enclosing field.
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

// parent returns the path of the enclosing field, such as "listen" for "listen.callers".
func parent(field string) string {
	end := strings.LastIndexAny(field, ".[")
	if end < 0 {
		return ""
	}
	return field[:end]
}

func (d *Document) add(line int, field, message string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Field: field, Message: message})
}

// decodeValue decodes one node of any kind.
func (d *Document) decodeValue(node *yaml.Node, field string, out reflect.Value) {
	d.lines[field] = node.Line
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		// Nested aliases can expand to an unbounded size when they are resolved.
		d.add(node.Line, field, "anchors and aliases are not allowed")
		return
	}
	switch {
	case out.Kind() == reflect.Struct:
		d.decodeMapping(node, field, out)
	case out.Kind() == reflect.Slice:
		d.decodeSequence(node, field, out)
	default:
		d.decodeScalar(node, field, out)
	}
}

func (d *Document) decodeMapping(node *yaml.Node, field string, out reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.add(node.Line, field, "must be a mapping")
		return
	}
	known := fieldIndexes(out.Type())
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		path := join(field, key.Value)
		index, ok := known[key.Value]
		switch {
		case key.Kind != yaml.ScalarNode || !ok:
			d.add(key.Line, path, unknownFieldMessage(key.Value, known))
		case seen[key.Value]:
			d.add(key.Line, path, "is a duplicate")
		default:
			seen[key.Value] = true
			d.decodeValue(node.Content[i+1], path, out.Field(index))
			d.lines[path] = key.Line
		}
	}
}

func (d *Document) decodeSequence(node *yaml.Node, field string, out reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.add(node.Line, field, "must be a list")
		return
	}
	list := reflect.MakeSlice(out.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		d.decodeValue(item, field+"["+strconv.Itoa(i)+"]", list.Index(i))
	}
	out.Set(list)
}

var durationType = reflect.TypeFor[time.Duration]()

func (d *Document) decodeScalar(node *yaml.Node, field string, out reflect.Value) {
	if node.Kind != yaml.ScalarNode {
		d.add(node.Line, field, "must be "+describe(out.Type()))
		return
	}
	if node.Tag == "!!null" {
		d.add(node.Line, field, "has no value; it must be "+describe(out.Type()))
		return
	}
	if out.Type() == durationType {
		d.decodeDuration(node, field, out)
		return
	}
	decoded := reflect.New(out.Type())
	if err := node.Decode(decoded.Interface()); err != nil {
		d.add(node.Line, field, fmt.Sprintf("%q must be %s", node.Value, describe(out.Type())))
		return
	}
	out.Set(decoded.Elem())
}

func (d *Document) decodeDuration(node *yaml.Node, field string, out reflect.Value) {
	value, err := time.ParseDuration(node.Value)
	if err != nil || node.Value == "0" {
		d.add(node.Line, field, fmt.Sprintf("%q must be a duration with a unit, such as 500ms, 2s or 24h", node.Value))
		return
	}
	out.SetInt(int64(value))
}

// describe names the expected type in a message.
func describe(t reflect.Type) string {
	if t == durationType {
		return "a duration with a unit, such as 500ms, 2s or 24h"
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "an integer"
	case reflect.Float64:
		return "a number"
	default:
		return "a string"
	}
}

// fieldIndexes maps the YAML names of a struct's fields to their indexes.
func fieldIndexes(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

// join returns the path of a field inside another field.
func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}
