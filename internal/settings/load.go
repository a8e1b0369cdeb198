package settings

import (
	"os"

	"github.com/gravitational/trace"

	"merlintiller/internal/strictyaml"
)

// Load reads and checks a settings file. The error lists every mistake with
// file, line and field (strictyaml.Problems). The command exits with status 2.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err, "settings")
	}
	return Parse(path, data)
}

// Parse decodes and checks the content of a settings file. Errors contain name.
func Parse(name string, data []byte) (*Settings, error) {
	s := Default()
	doc := strictyaml.Decode(name, data, s)
	if len(doc.Problems()) == 0 {
		check(s, doc)
	}
	if err := doc.Problems().Err(); err != nil {
		return nil, err
	}
	return s, nil
}
