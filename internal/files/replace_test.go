package files

import (
	"os"
	"path/filepath"
	"testing"
)

// fileNames returns the names of all files in a directory.
func fileNames(t *testing.T, dir string) (list []string) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		list = append(list, e.Name())
	}
	return list
}

func TestReplaceLeavesOnlyTheNewContent(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a")
	for _, content := range []string{"first", "second, and longer", ""} {
		if err := Replace(path, []byte(content)); err != nil {
			t.Fatal(err)
		}
		if b, err := os.ReadFile(path); err != nil || string(b) != content {
			t.Errorf("%q, %v, want %q", b, err, content)
		}
		if got := fileNames(t, dir); len(got) != 1 {
			t.Errorf("files %q", got)
		}
	}
}

func TestFailedReplaceLeavesNoTemporaryFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a")
	if err := os.MkdirAll(filepath.Join(path, "not-empty"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Replace(path, []byte("x")); err == nil {
		t.Error("replacing a directory succeeded")
	}
	if err := Replace(filepath.Join(dir, "none", "a"), []byte("x")); err == nil {
		t.Error("replacing a file in a missing directory succeeded")
	}
	if got := fileNames(t, dir); len(got) != 1 {
		t.Errorf("files %q", got)
	}
}
