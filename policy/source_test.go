package policy

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The list "policy" in deploy/balancer.toml must name every source file of this package.
func TestDeployFileNamesEveryFile(t *testing.T) {
	b, err := os.ReadFile(filepath.Join("..", "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var named []string
	if list := regexp.MustCompile(`(?s)\npolicy = \[(.*?)\]`).FindSubmatch(b); list != nil {
		for _, m := range regexp.MustCompile(`"policy/([^"]+)"`).FindAllSubmatch(list[1], -1) {
			named = append(named, string(m[1]))
		}
	}
	slices.Sort(named)
	if files := sourceFiles(t); !slices.Equal(named, files) {
		t.Errorf("deploy/balancer.toml names %v, the package has %v", named, files)
	}
}

// Lines of source files have at most 110 columns, with tabs of four.
func TestLinesAreShort(t *testing.T) {
	for _, name := range sourceFiles(t) {
		b, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(b), "\n") {
			if len([]rune(strings.ReplaceAll(line, "\t", "    "))) > 110 {
				t.Errorf("%s:%d is longer than 110 characters", name, i+1)
			}
		}
	}
}

// Tunable times and shares must be named constants: their literals may stand only in constant declarations.
func TestTunedValuesAreNamedConstants(t *testing.T) {
	tuned := regexp.MustCompile(`[0-9] ?\* ?time\.|\b0\.[0-9]*[1-9]`)
	for _, f := range sourceFiles(t) {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		named := constantLines(t, f, b)
		for i, line := range strings.Split(string(b), "\n") {
			code, _, _ := strings.Cut(line, "//")
			if !named[i+1] && tuned.MatchString(code) {
				t.Errorf("%s:%d contains a tunable value outside a constant declaration: %s", f, i+1, strings.TrimSpace(line))
			}
		}
	}
}

// constantLines returns the lines of a source file that belong to constant declarations at package level.
func constantLines(t *testing.T, name string, source []byte) map[int]bool {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, name, source, 0)
	if err != nil {
		t.Fatal(err)
	}
	lines := map[int]bool{}
	for _, decl := range file.Decls {
		if decl, ok := decl.(*ast.GenDecl); ok && decl.Tok == token.CONST {
			for i := files.Position(decl.Pos()).Line; i <= files.Position(decl.End()).Line; i++ {
				lines[i] = true
			}
		}
	}
	return lines
}

// sourceFiles returns the sorted names of the package's files other than tests.
func sourceFiles(t *testing.T) (names []string) {
	t.Helper()
	all, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range all {
		if !strings.HasSuffix(name, "_test.go") {
			names = append(names, name)
		}
	}
	return names
}
