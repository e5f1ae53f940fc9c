// Package files replaces files in one step.
package files

import (
	"errors"
	"os"
	"path/filepath"
)

// Replace writes a file anew. After a kill at any moment either the old content or the new one is
// there, complete; once Replace has returned nil, the new one is on the disk. It blocks on the
// disk. Calls for different paths may run concurrently. On an error the old content stays.
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
