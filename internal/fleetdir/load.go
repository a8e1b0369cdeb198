package fleetdir

import (
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/gravitational/trace"

	"merlintiller/internal/strictyaml"
)

// Source is one file of the folder.
type Source struct {
	// Name is the path that appears in errors.
	Name string
	// Data is the content of the file.
	Data []byte
}

// Load reads, merges and checks a folder. The error lists every mistake with
// file, line and field (strictyaml.Problems).
func Load(dir string) (Objects, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return Objects{}, trace.Wrap(err, "configuration folder")
	}
	var sources []Source
	var problems strictyaml.Problems
	for _, entry := range entries {
		path := filepath.Join(dir, entry.Name())
		if isIgnored(entry.Name()) {
			continue
		}
		if entry.IsDir() || filepath.Ext(path) != ".yaml" {
			// If a file such as "90-tonight.yml" were ignored without a message, the
			// operator would assume that it is applied.
			problems = append(problems, strictyaml.Problem{File: path, Message: "is not a .yaml file; move it out of the folder"})
			continue
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return Objects{}, trace.Wrap(err, "configuration folder")
		}
		sources = append(sources, Source{Name: path, Data: data})
	}
	if len(sources) == 0 && len(problems) == 0 {
		problems = append(problems, strictyaml.Problem{File: dir, Message: "contains no .yaml file"})
	}
	if len(problems) > 0 {
		return Objects{}, problems.Err()
	}
	return Merge(sources)
}

// isIgnored reports whether a file is skipped: hidden files of editors and of version
// control, and Markdown pages.
func isIgnored(name string) bool {
	return strings.HasPrefix(name, ".") || strings.HasSuffix(name, ".md")
}

// Merge merges files in the order of their names and checks the result.
func Merge(sources []Source) (Objects, error) {
	ordered := append([]Source(nil), sources...)
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].Name < ordered[j].Name })
	m := newMerger()
	var problems strictyaml.Problems
	for _, source := range ordered {
		var content file
		doc := strictyaml.Decode(source.Name, source.Data, &content)
		if len(doc.Problems()) == 0 {
			m.add(doc, content)
		}
		m.docs = append(m.docs, doc)
	}
	if !m.hasProblems() {
		m.check()
	}
	for _, doc := range m.docs {
		problems = append(problems, doc.Problems()...)
	}
	if err := problems.Err(); err != nil {
		return Objects{}, err
	}
	return m.objects(), nil
}
