// Package files replaces files in one step.
package files

import (
	"errors"
	"os"
	"path/filepath"
)

// Replace writes a file anew: after a kill at any moment either the old content or the
// new is there, whole, and on the disk once Replace has returned.
func Replace(path string, b []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+"-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(b)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}
