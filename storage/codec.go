package storage

import (
	"cmp"
	"encoding/binary"
	"fmt"

	"yardcleat.example/yardcleat/usage"
)

// The key of an entry consists of node, incarnation and window, 8 bytes each, followed by the
// customer's name, which is not empty. The value is the units in thousandths, 8 bytes. Numbers are
// big-endian.
const (
	numberSize    = 8
	keyPrefixSize = 3 * numberSize
)

// bigEndian encodes a number in big-endian order.
func bigEndian(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

// parseUint64 decodes a big-endian number. It returns 0 if b has the wrong size.
func parseUint64(b []byte) uint64 {
	if len(b) != numberSize {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// encodeEntry returns the key and value of an entry.
func encodeEntry(entry usage.CounterEntry) (key, value []byte) {
	key = make([]byte, 0, keyPrefixSize+len(entry.Key.Customer))
	key = binary.BigEndian.AppendUint64(key, uint64(entry.Writer.Node))
	key = binary.BigEndian.AppendUint64(key, entry.Writer.Incarnation)
	key = binary.BigEndian.AppendUint64(key, uint64(entry.Key.Window))
	return append(key, entry.Key.Customer...), bigEndian(uint64(entry.Units))
}

// decodeEntry decodes the output of encodeEntry. The error wraps ErrDamaged.
func decodeEntry(key, value []byte) (usage.CounterEntry, error) {
	if len(key) <= keyPrefixSize || len(value) != numberSize {
		return usage.CounterEntry{}, damagedError(fmt.Errorf("malformed entry %x", key))
	}
	writer := usage.WriterID{Node: int(parseUint64(key[:8])), Incarnation: parseUint64(key[8:16])}
	total := usage.TotalKey{Customer: string(key[keyPrefixSize:]), Window: int64(parseUint64(key[16:24]))}
	return usage.CounterEntry{Key: total, Writer: writer, Units: usage.MilliUnits(parseUint64(value))}, nil
}

// compareKeys orders entries by writer, window and customer, as their encoded keys are ordered.
func compareKeys(a, b usage.CounterEntry) int {
	return cmp.Or(
		cmp.Compare(a.Writer.Node, b.Writer.Node),
		cmp.Compare(a.Writer.Incarnation, b.Writer.Incarnation),
		cmp.Compare(a.Key.Window, b.Key.Window),
		cmp.Compare(a.Key.Customer, b.Key.Customer),
	)
}
