// Package files replaces files in one step.
package files

import (
	"errors"
	"os"
	"path/filepath"
)

// Replace writes a file anew: after a kill at any moment either the old content or the
// new is there, complete, and on the disk once Replace has returned. It writes to a
// temporary file beside path, which it removes where it fails. Calls for the same path
// are safe at the same time; the last to finish wins.
func Replace(path string, content []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+"-*")
	if err != nil {
		return err
	}
	_, err = temporary.Write(content)
	err = errors.Join(err, temporary.Sync(), temporary.Close())
	if err == nil {
		err = os.Rename(temporary.Name(), path)
	}
	if err != nil {
		return errors.Join(err, os.Remove(temporary.Name()))
	}
	return nil
}
