// Package files replaces files atomically.
package files

import (
	"errors"
	"os"
	"path/filepath"
)

// Replace atomically replaces the content of a file, or creates the file. If the process is killed
// at any moment, the file has either the complete old content or the complete new content. When
// Replace returns nil, the new content has been synced to the disk; on an error the old content
// stays. Replace blocks on disk I/O. Calls for different paths may run concurrently.
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
