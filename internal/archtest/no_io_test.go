// Package archtest checks architecture rules in the source code: packages and files that make
// decisions do no I/O, start no goroutines and read no clock; the adapter has no external
// dependencies.
package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// filesWithoutIO lists the files that make decisions, as patterns relative to the module's root.
var filesWithoutIO = []string{"policy/*.go", "policy/connections/*.go", "authz/*.go", "audit/*.go", "intake/*.go", "internal/timers/*.go", "usage/*.go", "lab/*.go", "lab/hunt/*.go", "peer/packet.go",
	"pause/*.go", "membership/*.go", "upstream/attempt_outcome.go", "upstream/idle_timeout.go", "edgenode/protocol/*.go", "edgenode/discovery/list.go", "edgenode/discovery/endpoint_table.go", "edgenode/shutdown.go", "edgenode/resource_limits.go", "edgenode/request_ids.go", "edgenode/discovery/timeouts.go", "front/extauthz/attempt_outcome.go"}

// bannedImports lists packages that do I/O, synchronize goroutines or are not deterministic.
var bannedImports = map[string]bool{"net": true, "net/http": true, "os": true, "os/exec": true, "syscall": true, "io/fs": true,
	"sync": true, "sync/atomic": true, "context": true, "log/slog": true, "math/rand": true}

// clockFunctions lists the functions of package time that read the clock or wait for a time.
var clockFunctions = map[string]bool{"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true,
	"NewTimer": true, "NewTicker": true, "Tick": true}

func TestNoIO(t *testing.T) {
	for _, pattern := range filesWithoutIO {
		files, err := filepath.Glob(filepath.Join("..", "..", pattern))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: no files, %v", pattern, err)
		}
		for _, name := range files {
			if !strings.HasSuffix(name, "_test.go") {
				checkFile(t, name)
			}
		}
	}
}

// checkFile parses a file and reports each violation with its position.
func checkFile(t *testing.T, name string) {
	t.Helper()
	set := token.NewFileSet()
	f, err := parser.ParseFile(set, name, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, imp := range f.Imports {
		if path, _ := strconv.Unquote(imp.Path.Value); bannedImports[path] {
			t.Errorf("%s imports %s", set.Position(imp.Pos()), path)
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s starts a goroutine", set.Position(n.Pos()))
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && x.Name == "time" && x.Obj == nil && clockFunctions[n.Sel.Name] {
				t.Errorf("%s uses time.%s", set.Position(n.Pos()), n.Sel.Name)
			}
		}
		return true
	})
}

// The adapter imports no packages from outside the module except the standard library.
func TestAdapterHasNoExternalDependencies(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.ImportPath}}{{end}}",
		"yardcleat.example/yardcleat/cmd/adapter").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, dep := range strings.Fields(string(out)) {
		if !strings.HasPrefix(dep, "yardcleat.example/yardcleat/") {
			t.Errorf("cmd/adapter depends on %s", dep)
		}
	}
}
