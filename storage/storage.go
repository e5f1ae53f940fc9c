// Package storage persists the usage entries of this node that the shared counter may not hold
// yet, in an embedded database (bbolt), so that they survive a restart.
package storage

import (
	"slices"

	"go.etcd.io/bbolt"

	"yardcleat.example/yardcleat/usage"
)

// formatVersion is the version of the database's layout.
const formatVersion = 1

// The database has two buckets: one for the format version and the node's index, and one for the
// entries. See codec.go for the encoding of keys and values.
var (
	metaBucket    = []byte("meta")
	entriesBucket = []byte("registers")
	formatKey     = []byte("format")
	nodeKey       = []byte("node")
)

// Store is the open database of one node. It is safe for concurrent use.
type Store struct{ db *bbolt.DB }

// Save writes the entries, and deletes those of 0 units, in one transaction: after a crash at any
// time either all changes are stored or none. If changes has several changes of the same entry, the
// last one wins. Save blocks until the data is on disk.
func (s *Store) Save(changes []usage.CounterEntry) error {
	ordered := slices.Clone(changes)
	slices.SortStableFunc(ordered, compareKeys) // the order in which bbolt writes fastest
	return s.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(entriesBucket)
		for _, change := range ordered {
			if err := applyChange(bucket, change); err != nil {
				return err
			}
		}
		return nil
	})
}

func applyChange(bucket *bbolt.Bucket, change usage.CounterEntry) error {
	key, value := encodeEntry(change)
	if change.Units == 0 {
		return bucket.Delete(key)
	}
	return bucket.Put(key, value)
}

// Close closes the database. It waits for a Save in progress.
func (s *Store) Close() error { return s.db.Close() }
