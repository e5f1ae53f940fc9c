package files

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
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
		if err := Replace(path, []byte(content), 0o600); err != nil {
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
	if err := Replace(path, []byte("x"), 0o600); err == nil {
		t.Error("replacing a directory succeeded")
	}
	if err := Replace(filepath.Join(dir, "none", "a"), []byte("x"), 0o600); err == nil {
		t.Error("replacing a file in a missing directory succeeded")
	}
	if got := fileNames(t, dir); len(got) != 1 {
		t.Errorf("files %q", got)
	}
}

// A loss of power after Replace must not bring the old content back: peers or the counter may have been told what the
// new one says. So the directory is synced, after the rename, and Replace fails if that fails.
func TestReplaceSyncsTheNameAfterTheContent(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a")
	failure := errors.New("disk error")
	for _, c := range []struct {
		content string
		err     error
	}{{"first", nil}, {"second", nil}, {"third", failure}} {
		var contentAtSync []string
		replaceSyncDirectory(t, func(directory string) error {
			content, err := os.ReadFile(path)
			if directory != filepath.Dir(path) || err != nil {
				t.Errorf("synced %s, %v", directory, err)
			}
			contentAtSync = append(contentAtSync, string(content))
			return c.err
		})
		if err := Replace(path, []byte(c.content), 0o640); !errors.Is(err, c.err) {
			t.Errorf("%q: error %v, want %v", c.content, err, c.err)
		}
		if !slices.Equal(contentAtSync, []string{c.content}) {
			t.Errorf("%q: the content was %q as the directory was synced", c.content, contentAtSync)
		}
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o640 {
		t.Errorf("%v, %v, want the permissions 0640", info.Mode(), err)
	}
}

// Renamed and created files must last through a loss of power as well.
func TestRenameAndCreationAreSynced(t *testing.T) {
	directory := t.TempDir()
	from, to := filepath.Join(directory, "a"), filepath.Join(directory, "b")
	if err := os.WriteFile(from, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	var synced []string
	replaceSyncDirectory(t, func(directory string) error {
		synced = append(synced, directory)
		return nil
	})
	if err := errors.Join(Rename(from, to), SyncCreated(to)); err != nil {
		t.Fatal(err)
	}
	if want := []string{directory, directory}; !slices.Equal(synced, want) {
		t.Errorf("synced %q, want %q", synced, want)
	}
	if err := Rename(from, to); err == nil {
		t.Error("renaming a missing file succeeded")
	}
}

// replaceSyncDirectory replaces syncDirectory until the test ends.
func replaceSyncDirectory(t *testing.T, sync func(string) error) {
	t.Helper()
	original := syncDirectory
	syncDirectory = sync
	t.Cleanup(func() { syncDirectory = original })
}
