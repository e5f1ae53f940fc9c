// Package peer sends messages between the nodes of a fleet over UDP: authenticated and protected
// against replay, or plain on networks that guarantee the sender's address.
package peer

import (
	"crypto/subtle"
	"encoding/binary"
	"time"

	"github.com/zeebo/blake3"
)

// Header precedes every message.
type Header struct {
	From, To    uint16
	Incarnation uint64 // of the sender's process; a process started later has a higher one
	Seq         uint64 // sequence number of the message in its process, from 1
	Sent        time.Time
}

const (
	version    = 1
	headerSize = 1 + 2 + 2 + 8 + 8 + 8
	macSize    = 16
	// MaxPayload is the maximum size of a message's payload in bytes.
	MaxPayload = 256
)

// Seal returns a packet: header, payload, and the first 16 bytes of their keyed
// BLAKE3 hash. The key has 32 bytes.
func Seal(key []byte, h Header, payload []byte) []byte {
	b := make([]byte, 0, headerSize+len(payload)+macSize)
	b = append(b, version)
	b = binary.BigEndian.AppendUint16(b, h.From)
	b = binary.BigEndian.AppendUint16(b, h.To)
	b = binary.BigEndian.AppendUint64(b, h.Incarnation)
	b = binary.BigEndian.AppendUint64(b, h.Seq)
	b = binary.BigEndian.AppendUint64(b, uint64(h.Sent.UnixMilli()))
	b = append(b, payload...)
	return append(b, mac(key, b)...)
}

func mac(key, b []byte) []byte {
	h, err := blake3.NewKeyed(key)
	if err != nil {
		panic(err) // can't happen: the length of the key was checked when it was loaded
	}
	h.Write(b)
	return h.Sum(nil)[:macSize]
}

// Open checks the format and the hash of a packet and returns its contents. ok is false if the
// packet was not sealed with the key.
func Open(key, b []byte) (h Header, payload []byte, ok bool) {
	if len(b) < headerSize+macSize || len(b) > headerSize+MaxPayload+macSize || b[0] != version {
		return h, nil, false
	}
	body, sum := b[:len(b)-macSize], b[len(b)-macSize:]
	if subtle.ConstantTimeCompare(mac(key, body), sum) != 1 {
		return h, nil, false
	}
	h.From, h.To = binary.BigEndian.Uint16(body[1:]), binary.BigEndian.Uint16(body[3:])
	h.Incarnation, h.Seq = binary.BigEndian.Uint64(body[5:]), binary.BigEndian.Uint64(body[13:])
	h.Sent = time.UnixMilli(int64(binary.BigEndian.Uint64(body[21:])))
	return h, body[headerSize:], true
}

// PacketStatus is the verdict of a PacketFilter on a message.
type PacketStatus int

// Verdicts on a message. All but Accepted are reasons to drop it.
const (
	Accepted             PacketStatus = iota
	Misaddressed                      // not for this node, from a number outside the fleet, or not authentic
	Stale                             // sent too long ago, or the clocks differ by more than the freshness
	Replayed                          // received before, or older than the replay window
	FromOlderIncarnation              // from an earlier process of the peer
	RateLimited                       // beyond the rate at which a node accepts messages
	DuplicateNumber                   // two processes use the sender's number
	DuplicateOwnNumber                // another process uses this node's number
	packetStatusCount    int          = iota
)

func (s PacketStatus) String() string {
	return [...]string{"accepted", "foreign", "stale", "replayed", "from an older process", "too many",
		"number in use twice", "this node's number in use twice"}[s]
}

// PacketFilter decides which authentic messages are accepted: by address, age, incarnation, replay
// window and rate. It does no I/O and reads no clock. It is not safe for concurrent use.
//
// It requires that the clocks of the fleet agree to within the freshness: a node that has just
// started has no sequence numbers yet, so only the send time excludes replayed packets at first.
type PacketFilter struct {
	selfIndex   uint16
	incarnation uint64
	freshness   time.Duration
	rate        float64 // messages accepted per second, from all senders together
	tokens      float64
	refilledAt  time.Time
	senders     []senderState // by number
}

// senderState is what is known of the latest process of a sender. highestSeq and seen are its
// replay window.
type senderState struct {
	incarnation uint64
	startedAt   time.Time // send time of its first message
	highestSeq  uint64
	seen        uint64 // bit i is set if highestSeq-i was received
}

// burstSeconds is the size of the token bucket, in seconds at the rate.
const burstSeconds = 0.5

// NewPacketFilter returns a PacketFilter for a node of a fleet.
func NewPacketFilter(selfIndex, nodes int, incarnation uint64, freshness time.Duration, rate float64) *PacketFilter {
	return &PacketFilter{selfIndex: uint16(selfIndex), incarnation: incarnation, freshness: freshness, rate: rate,
		tokens: max(1, rate*burstSeconds), senders: make([]senderState, nodes)}
}

// Grow makes room for senders with numbers below nodes. It never removes a sender.
func (f *PacketFilter) Grow(nodes int) {
	if more := nodes - len(f.senders); more > 0 {
		f.senders = append(f.senders, make([]senderState, more)...)
	}
}

// Check decides whether an authentic message is accepted.
func (f *PacketFilter) Check(now time.Time, h Header) PacketStatus {
	if int(h.From) >= len(f.senders) || h.To != f.selfIndex && h.From != f.selfIndex {
		return Misaddressed
	}
	if age := now.Sub(h.Sent); age > f.freshness || age < -f.freshness {
		return Stale
	}
	if h.From == f.selfIndex {
		if h.Incarnation == f.incarnation {
			return Misaddressed // this process's own message, sent back
		}
		return DuplicateOwnNumber
	}
	sender := &f.senders[h.From]
	switch {
	case h.Incarnation < sender.incarnation:
		// Messages in transit during a restart are sent before the new process's first
		// message. One sent after it shows that the older process is still running.
		if h.Sent.After(sender.startedAt) {
			return DuplicateNumber
		}
		return FromOlderIncarnation
	case h.Incarnation > sender.incarnation:
		*sender = senderState{incarnation: h.Incarnation, startedAt: h.Sent}
	}
	if !sender.markSeen(h.Seq) {
		return Replayed
	}
	f.tokens = min(max(1, f.rate*burstSeconds), f.tokens+f.rate*now.Sub(f.refilledAt).Seconds())
	f.refilledAt = now
	if f.tokens < 1 {
		return RateLimited
	}
	f.tokens--
	return Accepted
}

// markSeen records a sequence number. It returns false if the number is 0, was recorded before or
// is older than the replay window.
func (s *senderState) markSeen(seq uint64) bool {
	switch {
	case seq == 0:
		return false
	case seq > s.highestSeq:
		if shift := seq - s.highestSeq; shift < 64 {
			s.seen = s.seen<<shift | 1
		} else {
			s.seen = 1
		}
		s.highestSeq = seq
		return true
	case s.highestSeq-seq >= 64 || s.seen>>(s.highestSeq-seq)&1 == 1:
		return false
	}
	s.seen |= 1 << (s.highestSeq - seq)
	return true
}
