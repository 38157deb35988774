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

// forbiddenImports are the packages that core must not import, with what each
// gives access to.
var forbiddenImports = []struct{ path, access string }{
	{"net", "sockets"},
	{"net/http", "sockets"},
	{"os", "files and processes"},
	{"os/exec", "processes"},
	{"syscall", "system calls"},
	{"yuccadoor/io", "the I/O layer on top of core"},
}

// Guards the separation of decision logic from I/O: no package under core imports
// a package that does input or output. Time and randomness are parameters; core
// reads neither the clock nor the shared random source.
func TestCoreImportsNoInputOrOutput(t *testing.T) {
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
			for _, f := range forbiddenImports {
				banned := name == f.path || (strings.HasPrefix(f.path, "yuccadoor/") && strings.HasPrefix(name, f.path+"/"))
				assert.Assert(t, !banned, "%s imports %s, which gives access to %s", path, name, f.access)
			}
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, files > 0)
}
