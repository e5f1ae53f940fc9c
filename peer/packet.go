// Package peer carries the module's messages between the nodes of a fleet over
// UDP, authenticated and protected against replay.
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
	Incarnation uint64 // of the sender's process; a later start has a higher one
	Seq         uint64 // counts the process's messages from 1
	Sent        time.Time
}

const (
	version    = 1
	headerSize = 1 + 2 + 2 + 8 + 8 + 8
	macSize    = 16
	// MaxPayload is the most a message carries.
	MaxPayload = 256
)

// Seal makes a packet: header, payload, and the first 16 bytes of their keyed
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
		panic(err) // the key's length was checked
	}
	h.Write(b)
	return h.Sum(nil)[:macSize]
}

// Open checks a packet's form and hash; false for any that the key did not seal.
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

// PacketStatus is what a Guard says of a message.
type PacketStatus int

// The words.
const (
	Accepted             PacketStatus = iota
	Misaddressed                      // not for this node, or from a number that is not in the fleet
	Stale                             // sent too long ago, or clocks differ by more than the freshness
	Replayed                          // seen before
	FromOlderIncarnation              // from an earlier process of the peer
	RateLimited                       // beyond the mail a node takes in
	DuplicateNumber                   // two processes act under the sender's number
	DuplicateOwnNumber                // another process acts under this node's number
	packetStatusCount    int          = iota
)

func (w PacketStatus) String() string {
	return [...]string{"accepted", "foreign", "stale", "replayed", "from an older process", "too many",
		"number in use twice", "this node's number in use twice"}[w]
}

// PacketFilter decides which messages are taken. It has no I/O; its time is what it is
// given. It is not safe for concurrent use.
//
// It rests on clocks of the fleet that agree to within the freshness: a node
// that has just started knows no sequence numbers, and only the time of sending
// keeps old packets out then.
type PacketFilter struct {
	selfIndex   uint16
	incarnation uint64
	freshness   time.Duration
	rate        float64 // messages a second taken in
	tokens      float64
	refilledAt  time.Time
	senders     []senderState
}

type senderState struct {
	incarnation uint64
	startedAt   time.Time // when its first message was sent
	highestSeq  uint64
	seen        uint64 // which of the 64 up to seq were seen
}

// burstSeconds is the mail of this time that may come at once.
const burstSeconds = 0.5

// NewPacketFilter returns a Guard for a node of a fleet.
func NewPacketFilter(me, nodes int, incarnation uint64, freshness time.Duration, rate float64) *PacketFilter {
	return &PacketFilter{selfIndex: uint16(me), incarnation: incarnation, freshness: freshness, rate: rate,
		tokens: max(1, rate*burstSeconds), senders: make([]senderState, nodes)}
}

// Grow makes room for senders with numbers below one; there is never less.
func (g *PacketFilter) Grow(nodes int) {
	if more := nodes - len(g.senders); more > 0 {
		g.senders = append(g.senders, make([]senderState, more)...)
	}
}

// Check says whether an authentic message is taken.
func (g *PacketFilter) Check(now time.Time, h Header) PacketStatus {
	if int(h.From) >= len(g.senders) || h.To != g.selfIndex && h.From != g.selfIndex {
		return Misaddressed
	}
	if age := now.Sub(h.Sent); age > g.freshness || age < -g.freshness {
		return Stale
	}
	if h.From == g.selfIndex {
		if h.Incarnation == g.incarnation {
			return Misaddressed // its own, sent back
		}
		return DuplicateOwnNumber
	}
	p := &g.senders[h.From]
	switch {
	case h.Incarnation < p.incarnation:
		// What was under way at a restart is merely old. A process that still
		// sends after its successor began is a second one.
		if h.Sent.After(p.startedAt) {
			return DuplicateNumber
		}
		return FromOlderIncarnation
	case h.Incarnation > p.incarnation:
		*p = senderState{incarnation: h.Incarnation, startedAt: h.Sent}
	}
	if !p.markSeen(h.Seq) {
		return Replayed
	}
	g.tokens = min(max(1, g.rate*burstSeconds), g.tokens+g.rate*now.Sub(g.refilledAt).Seconds())
	g.refilledAt = now
	if g.tokens < 1 {
		return RateLimited
	}
	g.tokens--
	return Accepted
}

// markSeen notes a sequence number; false where it was seen, or is too old to tell.
func (p *senderState) markSeen(seq uint64) bool {
	switch {
	case seq == 0:
		return false
	case seq > p.highestSeq:
		if shift := seq - p.highestSeq; shift < 64 {
			p.seen = p.seen<<shift | 1
		} else {
			p.seen = 1
		}
		p.highestSeq = seq
		return true
	case p.highestSeq-seq >= 64 || p.seen>>(p.highestSeq-seq)&1 == 1:
		return false
	}
	p.seen |= 1 << (p.highestSeq - seq)
	return true
}
