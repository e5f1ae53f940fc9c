package storage

import (
	"encoding/hex"
	"io"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"go.etcd.io/bbolt"

	"yardcleat.example/yardcleat/usage"
)

var goldenEntries = []usage.CounterEntry{
	{Key: usage.TotalKey{Customer: "bibl-a", Window: 177}, Writer: usage.WriterID{Node: 3, Incarnation: 9}, Units: 123456},
	{Key: usage.TotalKey{Customer: "bibl-b", Window: 178}, Writer: usage.WriterID{Node: 3, Incarnation: 10}, Units: 1},
}

// Guards against format changes that make the entries stored by an earlier version unreadable.
func TestEntriesOfAnEarlierBuildAreRead(t *testing.T) {
	b, err := os.ReadFile(filepath.Join("testdata", "tally"))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "tally")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	s, contents, err := Open(path, 3)
	if err != nil || contents.MovedAside != nil {
		t.Fatal(err, contents.MovedAside)
	}
	defer closeOrFail(t, s)
	if !slices.Equal(contents.Entries, goldenEntries) {
		t.Errorf("%+v, want %+v", contents.Entries, goldenEntries)
	}
}

// Guards against changes of the stored format: the database must have exactly these buckets, keys and
// values.
func TestDatabaseHasGoldenKeysAndValues(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tally")
	s, _, err := Open(path, 3)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Save(goldenEntries); err != nil {
		t.Fatal(err)
	}
	closeOrFail(t, s)
	want := []string{
		"meta format 0000000000000001",
		"meta node 0000000000000003",
		"registers " + hex.EncodeToString([]byte("\x00\x00\x00\x00\x00\x00\x00\x03"+"\x00\x00\x00\x00\x00\x00\x00\x09"+
			"\x00\x00\x00\x00\x00\x00\x00\xb1"+"bibl-a")) + " 000000000001e240",
		"registers " + hex.EncodeToString([]byte("\x00\x00\x00\x00\x00\x00\x00\x03"+"\x00\x00\x00\x00\x00\x00\x00\x0a"+
			"\x00\x00\x00\x00\x00\x00\x00\xb2"+"bibl-b")) + " 0000000000000001",
	}
	for name, file := range map[string]string{"written by this version": path, "written by an earlier version": filepath.Join("testdata", "tally")} {
		if got := dump(t, file); !slices.Equal(got, want) {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
}

// closeOrFail closes c and fails the test on an error.
func closeOrFail(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// dump returns one line for each key of a database: bucket, key and value. Keys of entries and all
// values are in hexadecimal.
func dump(t *testing.T, path string) (list []string) {
	t.Helper()
	db, err := bbolt.Open(path, 0o400, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer closeOrFail(t, db)
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				key := string(k)
				if string(bucket) != "meta" {
					key = hex.EncodeToString(k)
				}
				list = append(list, string(bucket)+" "+key+" "+hex.EncodeToString(v))
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return list
}
