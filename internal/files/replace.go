// Package files replaces, renames and creates files so that they survive a kill of the process and a loss of power.
package files

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// Replace atomically replaces the content of a file, or creates the file with the given permissions. If the
// process is killed or the machine loses power at any moment, the file has either the complete old content or the
// complete new content. When Replace returns nil, it is the new one. On an error it may be either: the new content
// can be in place but undone by a loss of power. Replace blocks on disk I/O. Calls for different paths may run
// concurrently.
func Replace(path string, content []byte, permissions fs.FileMode) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+"-*")
	if err != nil {
		return err
	}
	_, err = temporary.Write(content)
	err = errors.Join(err, temporary.Chmod(permissions), temporary.Sync(), temporary.Close())
	if err != nil {
		return errors.Join(err, os.Remove(temporary.Name()))
	}
	if err := os.Rename(temporary.Name(), path); err != nil {
		return errors.Join(err, os.Remove(temporary.Name()))
	}
	return syncDirectory(filepath.Dir(path))
}

// Rename renames a file within its directory. When it returns nil, a loss of power does not undo that.
func Rename(from, to string) error {
	if err := os.Rename(from, to); err != nil {
		return err
	}
	return syncDirectory(filepath.Dir(to))
}

// SyncCreated makes the creation of a file last through a loss of power. The content of the file must be synced
// beside that.
func SyncCreated(path string) error { return syncDirectory(filepath.Dir(path)) }

// syncDirectory syncs the names in a directory to the disk. Tests replace it.
var syncDirectory = func(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	err = directory.Sync()
	if errors.Is(err, syscall.EINVAL) || errors.Is(err, errors.ErrUnsupported) {
		err = nil // the file system syncs names in some other way
	}
	return errors.Join(err, directory.Close())
}
