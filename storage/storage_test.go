package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"yardcleat.example/yardcleat/usage"
)

const (
	testNode    = 3
	testEntries = 50

	// cutStep is the distance, in bytes, between the offsets at which a file is truncated. It is
	// prime so that the offsets within the pages vary.
	cutStep = 1009
)

// newDatabase creates a database of testNode with testEntries entries, and one more entry that was
// saved and deleted again.
func newDatabase(t *testing.T) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "tally")
	s, _, err := Open(path, testNode)
	if err != nil {
		t.Fatal(err)
	}
	var entries []usage.CounterEntry
	for i := range testEntries {
		entries = append(entries, usage.CounterEntry{
			Key:    usage.TotalKey{Customer: fmt.Sprint("c", i), Window: 7},
			Writer: usage.WriterID{Node: testNode, Incarnation: 9},
			Units:  usage.MilliUnits(i + 1),
		})
	}
	deleted := entries[0]
	deleted.Key.Customer = "deleted"
	if err := s.Save(append(entries, deleted)); err != nil {
		t.Fatal(err)
	}
	deleted.Units = 0
	if err := s.Save([]usage.CounterEntry{deleted}); err != nil {
		t.Fatal(err)
	}
	closeOrFail(t, s)
	return path
}

// Guards against losing saved entries, and against restoring deleted ones.
func TestSavedEntriesAreRead(t *testing.T) {
	s, contents, err := Open(newDatabase(t), testNode)
	if err != nil || contents.MovedAside != nil || len(contents.Entries) != testEntries {
		t.Fatalf("%d entries, %v, %v", len(contents.Entries), contents.MovedAside, err)
	}
	closeOrFail(t, s)
}

// Guards against an order of writes in which an earlier change overwrites a later one: of two changes
// of the same entry in one Save, the later one must win.
func TestLaterChangeOfSameEntryWins(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tally")
	s, _, err := Open(path, testNode)
	if err != nil {
		t.Fatal(err)
	}
	first := goldenEntries[0]
	second := first
	second.Units++
	if err := s.Save([]usage.CounterEntry{first, second}); err != nil {
		t.Fatal(err)
	}
	closeOrFail(t, s)
	s, contents, err := Open(path, testNode)
	if err != nil || len(contents.Entries) != 1 || contents.Entries[0] != second {
		t.Fatalf("%+v, %v", contents, err)
	}
	closeOrFail(t, s)
}

// Guards against moving aside a database that another process has open: opening it must fail with
// ErrInUse.
func TestDatabaseInUseIsNotOpened(t *testing.T) {
	path := newDatabase(t)
	s, _, err := Open(path, testNode)
	if err != nil {
		t.Fatal(err)
	}
	defer closeOrFail(t, s)
	if _, contents, err := Open(path, testNode); !errors.Is(err, ErrInUse) || contents.MovedAside != nil {
		t.Errorf("opening a database in use: moved aside %v, error %v", contents.MovedAside, err)
	}
}

// Guards against using part of a truncated file: whatever its length, the file must be read in full or
// moved aside as damaged.
func TestTruncatedDatabaseIsMovedAside(t *testing.T) {
	content, err := os.ReadFile(newDatabase(t))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for cut := 0; cut < len(content); cut += cutStep {
		path := filepath.Join(dir, fmt.Sprint("cut-", cut))
		if err := os.WriteFile(path, content[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		s, contents, err := Open(path, testNode)
		if err != nil {
			t.Fatalf("truncated at %d: %v", cut, err)
		}
		read := len(contents.Entries)
		lostSilently := cut > 0 && read == 0 && contents.MovedAside == nil
		if read != 0 && read != testEntries || lostSilently {
			t.Errorf("truncated at %d: %d entries, %v", cut, read, contents.MovedAside)
		}
		if contents.MovedAside != nil && !errors.Is(contents.MovedAside, ErrDamaged) {
			t.Errorf("truncated at %d: moved aside because of %v", cut, contents.MovedAside)
		}
		closeOrFail(t, s)
	}
}

// openUnusable opens a file with the given content as node 4, and checks that it is moved aside
// unchanged.
func openUnusable(t *testing.T, content string) *MovedAsideError {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tally")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	s, contents, err := Open(path, 4)
	if err != nil || contents.MovedAside == nil || len(contents.Entries) != 0 {
		t.Fatalf("not moved aside: %d entries, %v, %v", len(contents.Entries), contents.MovedAside, err)
	}
	closeOrFail(t, s)
	moved, err := os.ReadFile(contents.MovedAside.MovedTo)
	if err != nil || string(moved) != content || contents.MovedAside.Path != path {
		t.Errorf("moved aside as %+v, %v", contents.MovedAside, err)
	}
	return contents.MovedAside
}

// Guards against failing to start because of a file that is not a database: it is moved aside.
func TestForeignFileIsMovedAside(t *testing.T) {
	if moved := openUnusable(t, strings.Repeat("hello\n", 5000)); !errors.Is(moved, ErrDamaged) {
		t.Errorf("moved aside because of %v", moved)
	}
}

// Guards against using the entries of another node: its database is moved aside.
func TestDatabaseOfAnotherNodeIsMovedAside(t *testing.T) {
	content, err := os.ReadFile(newDatabase(t))
	if err != nil {
		t.Fatal(err)
	}
	moved := openUnusable(t, string(content))
	var mismatch *NodeMismatchError
	if !errors.As(moved, &mismatch) || *mismatch != (NodeMismatchError{Owner: testNode, Node: 4}) {
		t.Errorf("moved aside because of %v", moved)
	}
}

// Guards against using a database of another program or of an unsupported format version: both are
// moved aside.
func TestUnknownLayoutIsMovedAside(t *testing.T) {
	foreign := editedDatabase(t, func(tx *bbolt.Tx) error {
		return errors.Join(tx.DeleteBucket(metaBucket), tx.DeleteBucket(entriesBucket), errOf(tx.CreateBucket([]byte("other"))))
	})
	if moved := openUnusable(t, foreign); !errors.Is(moved, ErrForeign) {
		t.Errorf("moved aside because of %v", moved)
	}
	newerFormat := editedDatabase(t, func(tx *bbolt.Tx) error {
		return tx.Bucket(metaBucket).Put(formatKey, bigEndian(formatVersion+1))
	})
	var format *FormatError
	if moved := openUnusable(t, newerFormat); !errors.As(moved, &format) || format.Version != formatVersion+1 {
		t.Errorf("moved aside because of %v", moved)
	}
}

// editedDatabase returns the file content of a new database after an edit.
func editedDatabase(t *testing.T, edit func(tx *bbolt.Tx) error) string {
	t.Helper()
	path := newDatabase(t)
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Update(edit); err != nil {
		t.Fatal(err)
	}
	closeOrFail(t, db)
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func errOf(_ any, err error) error { return err }

// Guards against discarding an intact database because of a temporary error of the operating system,
// such as too few file descriptors: the file is not moved aside, and is read when it can be opened
// again.
func TestDatabaseThatCannotBeOpenedIsNotMovedAside(t *testing.T) {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EACCES, syscall.EIO, syscall.ENOSPC} {
		path := newDatabase(t)
		failingOpen := func(path string, _ int, _ os.FileMode) (*os.File, error) {
			return nil, &fs.PathError{Op: "open", Path: path, Err: cause}
		}
		if _, contents, err := openOrReplace(path, testNode, failingOpen); !errors.Is(err, cause) || contents.MovedAside != nil {
			t.Errorf("%v: moved aside %v, error %v", cause, contents.MovedAside, err)
		}
		s, contents, err := Open(path, testNode)
		if err != nil || len(contents.Entries) != testEntries {
			t.Errorf("%v: %d entries read afterwards, %v", cause, len(contents.Entries), err)
			continue
		}
		closeOrFail(t, s)
	}
}

// Guards against a deadlock in the check of a damaged database: bbolt's check blocks until each of its
// errors is received, so firstError must receive all of them.
func TestFirstErrorDrainsAllErrors(t *testing.T) {
	errs, ended := make(chan error), make(chan struct{})
	go func() {
		defer close(ended)
		defer close(errs)
		for i := range 3 {
			errs <- fmt.Errorf("error %d", i)
		}
	}()
	if err := firstError(errs); err == nil || err.Error() != "error 0" {
		t.Errorf("error %v, want error 0", err)
	}
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the sender is still blocked after 10 s")
	}
}
