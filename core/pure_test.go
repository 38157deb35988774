package core

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// forbidden are what decisions must not import, with what the ban is for.
var forbidden = []struct{ path, why string }{
	{"net", "sockets"},
	{"net/http", "sockets"},
	{"os", "files and processes"},
	{"os/exec", "processes"},
	{"syscall", "the system"},
	{"yuccadoor/io", "the shell around the decisions"},
}

// Decisions import nothing that does input or output. Time and randomness are
// passed in: no decision reads the clock or the shared random source.
func TestDecisionsAreFreeOfInputAndOutput(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range parsed.Imports {
			name := strings.Trim(i.Path.Value, `"`)
			for _, f := range forbidden {
				banned := name == f.path || (strings.HasPrefix(f.path, "yuccadoor/") && strings.HasPrefix(name, f.path+"/"))
				assert.Assert(t, !banned, "%s imports %s, which is for %s", path, name, f.why)
			}
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, files > 0)
}
