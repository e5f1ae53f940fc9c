package gateway

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/usage"
)

// A usage message consists of the message type (1 byte), the incarnation of the sender's process
// (8 bytes), and counter entries of that process: hash of the customer's name (8 bytes), window
// (4 bytes) and milli-units (8 bytes). Numbers are big-endian.
const (
	// usageMessageType is the first byte. Messages of the policy begin with their version,
	// which is a smaller number.
	usageMessageType = 'T'

	usageMessageHeaderSize = 1 + 8
	usageMessageEntrySize  = 8 + 4 + 8

	// maxUsageUnits is the maximum number of milli-units accepted in a peer's entry, so that sums
	// don't overflow.
	maxUsageUnits = 1<<62 - 1
)

// errMalformedUsageMessage reports that the length of a message does not match the format; a newer
// version may have sent it.
var errMalformedUsageMessage = errors.New("malformed usage message")

// usageMessageCodec encodes and decodes usage messages. It is safe for concurrent use.
type usageMessageCodec struct {
	incarnation    uint64 // of this process
	customerByHash map[uint64]string
}

func newUsageMessageCodec(incarnation uint64, customers []config.Customer) usageMessageCodec {
	c := usageMessageCodec{incarnation: incarnation, customerByHash: map[uint64]string{}}
	for _, customer := range customers {
		c.customerByHash[xxhash.Sum64String(customer.Name)] = customer.Name
	}
	return c
}

// isUsageMessage reports whether a peer message is a usage message.
func isUsageMessage(message []byte) bool {
	return len(message) > 0 && message[0] == usageMessageType
}

// encode encodes counter entries of this process in one message.
func (c usageMessageCodec) encode(entries []usage.CounterEntry) []byte {
	message := make([]byte, 0, usageMessageHeaderSize+usageMessageEntrySize*len(entries))
	message = append(message, usageMessageType)
	message = binary.BigEndian.AppendUint64(message, c.incarnation)
	for _, entry := range entries {
		message = binary.BigEndian.AppendUint64(message, xxhash.Sum64String(entry.Key.Customer))
		message = binary.BigEndian.AppendUint32(message, uint32(entry.Key.Window))
		message = binary.BigEndian.AppendUint64(message, uint64(entry.Units))
	}
	return message
}

// decode decodes a message for which isUsageMessage is true. Entries of unknown customers, and those
// with more than maxUsageUnits, are skipped. The error is errMalformedUsageMessage.
func (c usageMessageCodec) decode(from int, message []byte) ([]usage.CounterEntry, error) {
	size := len(message) - usageMessageHeaderSize
	if size < 0 || size%usageMessageEntrySize != 0 {
		return nil, errMalformedUsageMessage
	}
	writer := usage.WriterID{Node: from, Incarnation: binary.BigEndian.Uint64(message[1:])}
	var entries []usage.CounterEntry
	for rest := message[usageMessageHeaderSize:]; len(rest) > 0; rest = rest[usageMessageEntrySize:] {
		customer, known := c.customerByHash[binary.BigEndian.Uint64(rest)]
		window := binary.BigEndian.Uint32(rest[8:])
		units := binary.BigEndian.Uint64(rest[12:])
		if !known || units > maxUsageUnits {
			continue
		}
		key := usage.TotalKey{Customer: customer, Window: int64(window)}
		entries = append(entries, usage.CounterEntry{Key: key, Writer: writer, Units: usage.MilliUnits(units)})
	}
	return entries, nil
}
