package storage

import (
	"cmp"
	"encoding/binary"
	"fmt"

	"yardcleat.example/yardcleat/usage"
)

// An entry's key is node, incarnation and window, 8 bytes each, and the customer's name,
// which is not empty; its value is the units in thousandths, 8 bytes. Numbers are big-endian.
const (
	numberSize    = 8
	keyPrefixSize = 3 * numberSize
)

// bigEndian encodes a number.
func bigEndian(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

// parseUint64 decodes a number; one of another size counts as 0.
func parseUint64(b []byte) uint64 {
	if len(b) != numberSize {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// encodeEntry returns an entry's key and value.
func encodeEntry(entry usage.CounterEntry) (key, value []byte) {
	key = make([]byte, 0, keyPrefixSize+len(entry.Key.Customer))
	key = binary.BigEndian.AppendUint64(key, uint64(entry.Writer.Node))
	key = binary.BigEndian.AppendUint64(key, entry.Writer.Incarnation)
	key = binary.BigEndian.AppendUint64(key, uint64(entry.Key.Window))
	return append(key, entry.Key.Customer...), bigEndian(uint64(entry.Units))
}

// decodeEntry reads what encodeEntry wrote. The error is ErrDamaged.
func decodeEntry(key, value []byte) (usage.CounterEntry, error) {
	if len(key) <= keyPrefixSize || len(value) != numberSize {
		return usage.CounterEntry{}, damagedError(fmt.Errorf("malformed entry %x", key))
	}
	writer := usage.WriterID{Node: int(parseUint64(key[:8])), Incarnation: parseUint64(key[8:16])}
	total := usage.TotalKey{Customer: string(key[keyPrefixSize:]), Window: int64(parseUint64(key[16:24]))}
	return usage.CounterEntry{Key: total, Writer: writer, Units: usage.MilliUnits(parseUint64(value))}, nil
}

// compareKeys orders entries as their keys.
func compareKeys(a, b usage.CounterEntry) int {
	return cmp.Or(
		cmp.Compare(a.Writer.Node, b.Writer.Node),
		cmp.Compare(a.Writer.Incarnation, b.Writer.Incarnation),
		cmp.Compare(a.Key.Window, b.Key.Window),
		cmp.Compare(a.Key.Customer, b.Key.Customer),
	)
}
