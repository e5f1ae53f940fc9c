// Package storage keeps what must outlive a process, in an embedded database
// (bbolt): the totals of tally that the counter may not hold yet.
package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"

	"yardcleat.example/yardcleat/usage"
)

const formatVersion = 1

var (
	metaBucket    = []byte("meta")
	entriesBucket = []byte("registers")
	formatKey     = []byte("format")
	nodeKey       = []byte("node")
)

// Store is one node's database.
type Store struct{ db *bbolt.DB }

// ErrInUse says that another process has the database open.
var ErrInUse = errors.New("store: another process uses it")

// Open opens a node's database and reads the totals in it. A file that is torn,
// foreign, of another format or of another node is moved aside, and aside says
// why and where to; the store then starts empty.
func Open(path string, node int) (s *Store, list []usage.CounterEntry, aside error, err error) {
	s, list, err = open(path, node)
	if err == nil || errors.Is(err, ErrInUse) {
		return s, list, nil, err
	}
	away := fmt.Sprintf("%s.aside-%d", path, time.Now().UnixNano())
	if rerr := os.Rename(path, away); rerr != nil {
		return nil, nil, nil, errors.Join(err, rerr)
	}
	aside = fmt.Errorf("%w; moved to %s", err, away)
	s, list, err = open(path, node)
	return s, list, aside, err
}

func open(path string, node int) (s *Store, list []usage.CounterEntry, err error) {
	var db *bbolt.DB
	// The file is mapped: reading a page that a cut took away is a fault.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		// The database checks its pages as it meets them, and panics.
		if p := recover(); p != nil {
			err = fmt.Errorf("store: %s is torn: %v", path, p)
		}
		if err != nil && db != nil {
			func() {
				defer func() { recover() }()
				db.Close()
			}()
			s, list = nil, nil
		}
	}()
	if db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second}); err != nil {
		if errors.Is(err, bbolt.ErrTimeout) {
			return nil, nil, ErrInUse
		}
		return nil, nil, fmt.Errorf("store: %s is torn or not a store: %w", path, err)
	}
	s = &Store{db}
	err = db.Update(func(tx *bbolt.Tx) error {
		if info, err := os.Stat(path); err != nil || info.Size() < tx.Size() {
			return fmt.Errorf("store: %s is cut short", path)
		}
		meta := tx.Bucket(metaBucket)
		if meta == nil {
			if name, _ := tx.Cursor().First(); name != nil {
				return fmt.Errorf("store: %s is a database of something else", path)
			}
			return s.initialize(tx, node)
		}
		if v := parseUint64(meta.Get(formatKey)); v != formatVersion {
			return fmt.Errorf("store: %s is of format %d, not %d", path, v, formatVersion)
		}
		if n := parseUint64(meta.Get(nodeKey)); n != uint64(node) {
			return fmt.Errorf("store: %s is of node %d, not %d", path, n, node)
		}
		for err := range tx.Check() {
			return fmt.Errorf("store: %s is torn: %w", path, err)
		}
		regs := tx.Bucket(entriesBucket)
		if regs == nil {
			return fmt.Errorf("store: %s lacks its totals", path)
		}
		return regs.ForEach(func(k, v []byte) error {
			r, err := decodeEntry(k, v)
			list = append(list, r)
			return err
		})
	})
	return s, list, err
}

func (s *Store) initialize(tx *bbolt.Tx, node int) error {
	meta, err := tx.CreateBucket(metaBucket)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucket(entriesBucket); err != nil {
		return err
	}
	return errors.Join(meta.Put(formatKey, bigEndian(formatVersion)), meta.Put(nodeKey, bigEndian(uint64(node))))
}

func bigEndian(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

func parseUint64(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// A register's key is node, incarnation, window and customer; its value units.
func encodeEntry(r usage.CounterEntry) (k, v []byte) {
	k = bigEndian(uint64(r.Writer.Node))
	k = binary.BigEndian.AppendUint64(k, r.Writer.Incarnation)
	k = binary.BigEndian.AppendUint64(k, uint64(r.Key.Window))
	return append(k, r.Key.Customer...), bigEndian(uint64(r.Units))
}

func decodeEntry(k, v []byte) (usage.CounterEntry, error) {
	if len(k) < 25 || len(v) != 8 {
		return usage.CounterEntry{}, fmt.Errorf("store: malformed total %x", k)
	}
	return usage.CounterEntry{Writer: usage.WriterID{Node: int(parseUint64(k[:8])), Incarnation: parseUint64(k[8:16])},
		Key: usage.TotalKey{Window: int64(parseUint64(k[16:24])), Customer: string(k[24:])}, Units: usage.MilliUnits(parseUint64(v))}, nil
}

// Save puts totals, and takes out those of 0 units, in one transaction: after a
// kill at any moment either all of it is done or none.
func (s *Store) Save(changes []usage.CounterEntry) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(entriesBucket)
		for _, r := range changes {
			k, v := encodeEntry(r)
			var err error
			if r.Units == 0 {
				err = b.Delete(k)
			} else {
				err = b.Put(k, v)
			}
			if err != nil {
				return err
			}
		}
		return nil
	})
}

// Close closes the database.
func (s *Store) Close() error { return s.db.Close() }
