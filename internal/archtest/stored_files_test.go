package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
)

// filesWithStoredData lists the files of the packages that store data, as patterns relative to the module's root.
var filesWithStoredData = []string{"peer/*.go", "storage/*.go", "membership/*.go", "fleet/*.go", "gateway/*.go", "config/*.go", "usage/*.go",
	"usage/rediscounter/*.go", "edgenode/*.go", "internal/snapshotfile/*.go", "cmd/yardcleat/roster.go"}

// unsyncedWrites lists the functions of package os that change files without syncing them.
var unsyncedWrites = map[string]bool{"Rename": true, "WriteFile": true, "Create": true}

// Stored data must be written by package internal/files. A file that is written or renamed without a sync may be empty
// or have its old content after a loss of power, when peers have already been told the new one.
func TestStoredDataIsSynced(t *testing.T) {
	for _, pattern := range filesWithStoredData {
		names, err := filepath.Glob(filepath.Join("..", "..", pattern))
		if err != nil || len(names) == 0 {
			t.Fatalf("%s: no files, %v", pattern, err)
		}
		for _, name := range names {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			set := token.NewFileSet()
			f, err := parser.ParseFile(set, name, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(f, func(n ast.Node) bool {
				selector, ok := n.(*ast.SelectorExpr)
				if !ok || !unsyncedWrites[selector.Sel.Name] {
					return true
				}
				if x, ok := selector.X.(*ast.Ident); ok && x.Name == "os" && x.Obj == nil {
					t.Errorf("%s uses os.%s", set.Position(n.Pos()), selector.Sel.Name)
				}
				return true
			})
		}
	}
}
