package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"yardcleat.example/yardcleat/internal/files"
	"yardcleat.example/yardcleat/usage"
)

// lockTimeout is how long Open waits for another process to close the database.
const lockTimeout = time.Second

// fileMode is the mode of the database file, which only its owner can read and write.
const fileMode = 0o600

// Contents is the content of a database that Open has opened.
type Contents struct {
	Entries []usage.CounterEntry

	// MovedAside is not nil if an existing file could not be used. In that case Open created a
	// new database, and Entries is empty.
	MovedAside *MovedAsideError
}

// Open opens the database of the node with the given index and reads its entries. A missing file
// is created. A file that is damaged, or belongs to another program, format version or node, is
// moved aside and replaced by a new one. The error is ErrInUse, or describes why no database could
// be opened or created; in that case the content of an existing file is unchanged.
func Open(path string, node int) (*Store, Contents, error) {
	return openOrReplace(path, node, os.OpenFile)
}

// fileOpener opens a file like os.OpenFile.
type fileOpener func(path string, flags int, mode os.FileMode) (*os.File, error)

func openOrReplace(path string, node int, openFile fileOpener) (*Store, Contents, error) {
	store, entries, err := open(path, node, openFile)
	if err == nil || !isUnusable(err) {
		return store, Contents{Entries: entries}, err
	}
	moved, renameErr := moveAside(path, err)
	if renameErr != nil {
		return nil, Contents{}, errors.Join(err, renameErr)
	}
	store, entries, err = open(path, node, openFile)
	return store, Contents{Entries: entries, MovedAside: moved}, err
}

// isUnusable reports whether an error means that the content of a file can't be used. All other
// errors come from the operating system, and the file may be intact.
func isUnusable(err error) bool {
	var format *FormatError
	var mismatch *NodeMismatchError
	return errors.Is(err, ErrDamaged) || errors.Is(err, ErrForeign) || errors.As(err, &format) || errors.As(err, &mismatch)
}

// isSystemError reports whether an error comes from the operating system, for example because of
// missing file descriptors, disk space or permissions.
func isSystemError(err error) bool {
	var path *fs.PathError
	var call *os.SyscallError
	var number syscall.Errno
	return errors.As(err, &path) || errors.As(err, &call) || errors.As(err, &number)
}

// moveAside renames a file that can't be used.
func moveAside(path string, cause error) (*MovedAsideError, error) {
	moved := &MovedAsideError{Path: path, MovedTo: fmt.Sprintf("%s.aside-%d", path, time.Now().UnixNano()), Cause: cause}
	return moved, files.Rename(path, moved.MovedTo)
}

// open opens a database and reads its entries. It closes the database if it can't be used.
func open(path string, node int, openFile fileOpener) (store *Store, entries []usage.CounterEntry, err error) {
	// bbolt maps the file into memory. An access beyond the end of a truncated file is a memory
	// fault, which must be turned into a panic so that it can be recovered.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	var db *bbolt.DB
	defer func() {
		// bbolt panics on a malformed page.
		if p := recover(); p != nil {
			err = damagedError(fmt.Errorf("panic: %v", p))
		}
		if err != nil {
			closeUnusable(db)
			store, entries = nil, nil
		}
	}()
	db, err = openDatabase(path, openFile)
	if err != nil {
		return nil, nil, err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		entries, err = load(tx, path, node)
		return err
	})
	if err == nil {
		err = files.SyncCreated(path)
	}
	return &Store{db}, entries, err
}

// openDatabase opens or creates a bbolt database.
func openDatabase(path string, openFile fileOpener) (*bbolt.DB, error) {
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, OpenFile: openFile})
	switch {
	case err == nil:
		return db, nil
	case errors.Is(err, bbolterrors.ErrTimeout):
		return nil, ErrInUse
	case isSystemError(err):
		return nil, fmt.Errorf("storage: opening the database: %w", err)
	}
	return nil, damagedError(err)
}

// closeUnusable closes a database that can't be used, and ignores errors and panics.
func closeUnusable(db *bbolt.DB) {
	if db == nil {
		return
	}
	defer func() { _ = recover() }()
	_ = db.Close()
}

// load validates a database and reads its entries. It initializes an empty database.
func load(tx *bbolt.Tx, path string, node int) ([]usage.CounterEntry, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() < tx.Size() {
		return nil, damagedError(errors.New("file is truncated"))
	}
	meta := tx.Bucket(metaBucket)
	if meta == nil {
		if name, _ := tx.Cursor().First(); name != nil {
			return nil, ErrForeign
		}
		return nil, initialize(tx, node)
	}
	if err := checkMeta(meta, node); err != nil {
		return nil, err
	}
	if err := firstError(tx.Check()); err != nil {
		return nil, damagedError(err)
	}
	return readEntries(tx)
}

// firstError returns the first error of a channel, or nil. It drains the channel, because the
// sender blocks until each error is received.
func firstError(errs <-chan error) (first error) {
	for err := range errs {
		if first == nil {
			first = err
		}
	}
	return first
}

// checkMeta checks that a database has the supported format and belongs to the node.
func checkMeta(meta *bbolt.Bucket, node int) error {
	if version := parseUint64(meta.Get(formatKey)); version != formatVersion {
		return &FormatError{Version: version, Supported: formatVersion}
	}
	if owner := parseUint64(meta.Get(nodeKey)); owner != uint64(node) {
		return &NodeMismatchError{Owner: owner, Node: uint64(node)}
	}
	return nil
}

// readEntries returns all entries in the order of their keys.
func readEntries(tx *bbolt.Tx) (entries []usage.CounterEntry, err error) {
	bucket := tx.Bucket(entriesBucket)
	if bucket == nil {
		return nil, damagedError(errors.New("entries are missing"))
	}
	err = bucket.ForEach(func(key, value []byte) error {
		entry, err := decodeEntry(key, value)
		entries = append(entries, entry)
		return err
	})
	return entries, err
}

// initialize creates the buckets of an empty database.
func initialize(tx *bbolt.Tx, node int) error {
	meta, err := tx.CreateBucket(metaBucket)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucket(entriesBucket); err != nil {
		return err
	}
	if err := meta.Put(formatKey, bigEndian(formatVersion)); err != nil {
		return err
	}
	return meta.Put(nodeKey, bigEndian(uint64(node)))
}
