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

	// cutStep is the distance, in bytes, of the places where a file is cut. It is prime, so
	// that the places are spread over the pages.
	cutStep = 1009
)

// newDatabase creates a database of testNode with testEntries entries, and one that was
// deleted again.
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
	deleted.Key.Customer = "taken out again"
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

// All entries that were saved are read, and none that were deleted.
func TestSavedEntriesAreRead(t *testing.T) {
	s, contents, err := Open(newDatabase(t), testNode)
	if err != nil || contents.MovedAside != nil || len(contents.Entries) != testEntries {
		t.Fatalf("%d entries, %v, %v", len(contents.Entries), contents.MovedAside, err)
	}
	closeOrFail(t, s)
}

// Of two changes of one entry in one Save the later one stands.
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

// A database is open once at a time; the file stays where it is.
func TestDatabaseInUseIsNotOpened(t *testing.T) {
	path := newDatabase(t)
	s, _, err := Open(path, testNode)
	if err != nil {
		t.Fatal(err)
	}
	defer closeOrFail(t, s)
	if _, contents, err := Open(path, testNode); !errors.Is(err, ErrInUse) || contents.MovedAside != nil {
		t.Errorf("opened twice: %v, %v", contents.MovedAside, err)
	}
}

// A file that was cut short anywhere is moved aside, and nothing of it is taken.
func TestDatabaseCutShortIsMovedAside(t *testing.T) {
	whole, err := os.ReadFile(newDatabase(t))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for cut := 0; cut < len(whole); cut += cutStep {
		path := filepath.Join(dir, fmt.Sprint("cut-", cut))
		if err := os.WriteFile(path, whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		s, contents, err := Open(path, testNode)
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		read := len(contents.Entries)
		lostUnnoticed := cut > 0 && read == 0 && contents.MovedAside == nil
		if read != 0 && read != testEntries || lostUnnoticed {
			t.Errorf("cut at %d: %d entries, %v", cut, read, contents.MovedAside)
		}
		if contents.MovedAside != nil && !errors.Is(contents.MovedAside, ErrDamaged) {
			t.Errorf("cut at %d: moved aside for %v", cut, contents.MovedAside)
		}
		closeOrFail(t, s)
	}
}

// openUnusable opens a file with some content that must be moved aside, as node 4.
func openUnusable(t *testing.T, content string) *MovedAsideError {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tally")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	s, contents, err := Open(path, 4)
	if err != nil || contents.MovedAside == nil || len(contents.Entries) != 0 {
		t.Fatalf("%d entries, %v, %v", len(contents.Entries), contents.MovedAside, err)
	}
	closeOrFail(t, s)
	moved, err := os.ReadFile(contents.MovedAside.MovedTo)
	if err != nil || string(moved) != content || contents.MovedAside.Path != path {
		t.Errorf("moved aside as %+v, %v", contents.MovedAside, err)
	}
	return contents.MovedAside
}

// A file that is no database is moved aside.
func TestForeignFileIsMovedAside(t *testing.T) {
	if moved := openUnusable(t, strings.Repeat("hello\n", 5000)); !errors.Is(moved, ErrDamaged) {
		t.Errorf("moved aside for %v", moved)
	}
}

// The database of another node is moved aside.
func TestDatabaseOfAnotherNodeIsMovedAside(t *testing.T) {
	whole, err := os.ReadFile(newDatabase(t))
	if err != nil {
		t.Fatal(err)
	}
	moved := openUnusable(t, string(whole))
	var mismatch *NodeMismatchError
	if !errors.As(moved, &mismatch) || *mismatch != (NodeMismatchError{Owner: testNode, Node: 4}) {
		t.Errorf("moved aside for %v", moved)
	}
}

// A database of another program, and one of another format, are moved aside.
func TestUnknownLayoutIsMovedAside(t *testing.T) {
	foreign := editedDatabase(t, func(tx *bbolt.Tx) error {
		return errors.Join(tx.DeleteBucket(metaBucket), tx.DeleteBucket(entriesBucket), errOf(tx.CreateBucket([]byte("other"))))
	})
	if moved := openUnusable(t, foreign); !errors.Is(moved, ErrForeign) {
		t.Errorf("moved aside for %v", moved)
	}
	later := editedDatabase(t, func(tx *bbolt.Tx) error {
		return tx.Bucket(metaBucket).Put(formatKey, bigEndian(formatVersion+1))
	})
	var format *FormatError
	if moved := openUnusable(t, later); !errors.As(moved, &format) || format.Version != formatVersion+1 {
		t.Errorf("moved aside for %v", moved)
	}
}

// editedDatabase returns the content of a database after an edit.
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

// A file that can't be opened now, for want of descriptors or permission, is not damaged: it stays
// where it is, and is read when it can be opened again.
func TestDatabaseThatCannotBeOpenedIsNotMovedAside(t *testing.T) {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EACCES, syscall.EIO, syscall.ENOSPC} {
		path := newDatabase(t)
		fails := func(path string, _ int, _ os.FileMode) (*os.File, error) {
			return nil, &fs.PathError{Op: "open", Path: path, Err: cause}
		}
		if _, contents, err := openOrReplace(path, testNode, fails); !errors.Is(err, cause) || contents.MovedAside != nil {
			t.Errorf("%v: moved aside %v, error %v", cause, contents.MovedAside, err)
		}
		s, contents, err := Open(path, testNode)
		if err != nil || len(contents.Entries) != testEntries {
			t.Errorf("%v: %d entries are read afterwards, %v", cause, len(contents.Entries), err)
			continue
		}
		closeOrFail(t, s)
	}
}

// The check of a damaged database ends, however many errors it finds.
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
		t.Errorf("%v", err)
	}
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the check waits for good")
	}
}
