package policy

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// ask asks a customer's root to count a request.
type ask struct {
	Customer      uint64
	First, Spread uint16
	Plan, Class   byte
	Units, Left   uint16 // Left: milliseconds until the client gives up
	Tag           uint32
	Thin          byte // with what chance it was asked for, 250 certain
	Fill          byte // of the store as last heard, 250 full
	Repeat        bool
}

// answer is the root's.
type answer struct {
	Tag           uint32
	Verdict, Fill byte
	Strain        byte // the root's latency over aim, 100 alike
	Part          byte // of what is asked for fits, 250 all
}

const (
	granted byte = iota
	refused      // and above it the reason, which an older gateway reads as refused too
	waits        // held at the root, another answer follows

	reasonShift = 2
)

// ended tells the root that a granted attempt is over, or was never made.
type ended struct {
	Customer uint64
	Tag      uint32
	Unused   bool
}

// sight tells a server's watcher of an outcome.
type sight struct {
	Server  uint32
	Class   byte
	Code    byte
	Latency uint16 // milliseconds
}

// verdict is the watcher's on a server and class, for all.
type verdict struct {
	Server uint32
	Bad    byte // a bit for each of the first classes
	Pace   byte // latency against the fleet's: 16 * (4 + its log2)
}

const shortVersion = 3

func encode(m any) []byte {
	b := make([]byte, 2, 48)
	b[0] = shortVersion
	be := binary.BigEndian
	switch m := m.(type) {
	case ask:
		b = be.AppendUint64(b, m.Customer)
		b = be.AppendUint16(be.AppendUint16(b, m.First), m.Spread)
		b = append(b, m.Plan, m.Class)
		b = be.AppendUint16(be.AppendUint16(b, m.Units), m.Left)
		b = append(be.AppendUint32(b, m.Tag), m.Thin, m.Fill, bit(m.Repeat))
	case answer:
		b[1] = 1
		b = append(be.AppendUint32(b, m.Tag), m.Verdict, m.Fill, m.Strain, m.Part)
	case ended:
		b[1] = 2
		b = append(be.AppendUint32(be.AppendUint64(b, m.Customer), m.Tag), bit(m.Unused))
	case sight:
		b[1] = 3
		b = be.AppendUint16(append(be.AppendUint32(b, m.Server), m.Class, m.Code), m.Latency)
	case verdict:
		b[1] = 4
		b = append(be.AppendUint32(b, m.Server), m.Bad, m.Pace)
	default:
		panic("policy: not a message of this file")
	}
	return b
}

func bit(v bool) byte {
	if v {
		return 1
	}
	return 0
}

func small(v float64) byte { return byte(min(math.Round(v), 255)) }

// lengths of the messages without version and kind, by kind.
var lengths = [...]int{8 + 2 + 2 + 1 + 1 + 2 + 2 + 4 + 3, 4 + 4, 8 + 4 + 1, 4 + 2 + 2, 4 + 2}

// decode reads a message; it is nil for anything but a whole, well-formed one.
func decode(b []byte) any {
	if len(b) < 2 || b[0] != shortVersion {
		if m, ok := decodeReport(b); ok {
			return m
		}
		return nil
	}
	kind := b[1]
	if b = b[2:]; int(kind) >= len(lengths) || len(b) != lengths[kind] {
		return nil
	}
	be := binary.BigEndian
	switch kind {
	case 0:
		return ask{Customer: be.Uint64(b), First: be.Uint16(b[8:]), Spread: be.Uint16(b[10:]),
			Plan: b[12], Class: b[13], Units: be.Uint16(b[14:]), Left: be.Uint16(b[16:]),
			Tag: be.Uint32(b[18:]), Thin: b[22], Fill: b[23], Repeat: b[24] != 0}
	case 1:
		return answer{Tag: be.Uint32(b), Verdict: b[4], Fill: b[5], Strain: b[6], Part: b[7]}
	case 2:
		return ended{Customer: be.Uint64(b), Tag: be.Uint32(b[8:]), Unused: b[12] != 0}
	case 3:
		return sight{Server: be.Uint32(b), Class: b[4], Code: b[5], Latency: be.Uint16(b[6:])}
	}
	return verdict{Server: be.Uint32(b), Bad: b[4], Pace: b[5]}
}

// report is what a gateway tells a peer once a tick. On the wire: version,
// incarnation, sequence number, flags, number of servers, servers, customers.
type report struct {
	inc       uint32 // drawn anew at each start of the sender
	seq       uint32
	complete  bool // customers not named have none out and none held
	servers   []serverOut
	customers []entry
}

// serverOut is the sender's attempts out at a server, up to maxOut; the hash
// has serverBits bits.
type serverOut struct {
	hash uint16
	out  byte
}

// entry is a report's part on one customer.
type entry struct {
	hash   uint32 // 24 bits
	out    byte   // mean attempts out over the tick: outScale times its root, up to 15
	held   byte   // up to maxHeld
	passed uint16 // running total of units passed
	rate   byte   // units asked for a second: rateScale * log2(1 + rate), up to maxRate
	store  byte   // estimate of the store, 250 full
}

const (
	reportVersion = 4
	flagComplete  = 1
	maxRate       = 0x7f
	maxHeld       = 15
	maxOut        = 31
	serverBits    = 11
	outScale      = 4
	maxServers    = 36
	unknownStore  = 255
	maxMessage    = 256
	headerSize    = 11
	serverSize    = 2
	entrySize     = 8
	rateScale     = 8
)

// fits tells whether one more customer fits in.
func (m *report) fits() bool {
	n := headerSize + serverSize*len(m.servers) + entrySize*(len(m.customers)+1)
	return n <= maxMessage
}

func (m *report) encode() []byte {
	b := make([]byte, 0, maxMessage)
	b = append(b, reportVersion)
	b = binary.BigEndian.AppendUint32(b, m.inc)
	b = binary.BigEndian.AppendUint32(b, m.seq)
	flags := byte(0)
	if m.complete {
		flags = flagComplete
	}
	b = append(b, flags, byte(len(m.servers)))
	for _, s := range m.servers {
		b = binary.BigEndian.AppendUint16(b, s.hash<<(16-serverBits)|uint16(s.out))
	}
	for _, e := range m.customers {
		b = append(b, byte(e.hash>>16), byte(e.hash>>8), byte(e.hash), e.out<<4|e.held)
		b = binary.BigEndian.AppendUint16(b, e.passed)
		b = append(b, e.rate, e.store)
	}
	return b
}

// decodeReport reads a report; anything but a whole, well-formed one is not ok.
func decodeReport(b []byte) (m report, ok bool) {
	if len(b) < headerSize || len(b) > maxMessage || b[0] != reportVersion {
		return m, false
	}
	m.inc, m.seq = binary.BigEndian.Uint32(b[1:]), binary.BigEndian.Uint32(b[5:])
	m.complete = b[9]&flagComplete != 0
	n := int(b[10])
	b = b[headerSize:]
	if len(b) < n*serverSize {
		return m, false
	}
	for range n {
		v := binary.BigEndian.Uint16(b)
		m.servers = append(m.servers, serverOut{v >> (16 - serverBits), byte(v & maxOut)})
		b = b[serverSize:]
	}
	for len(b) > 0 {
		if len(b) < entrySize {
			return m, false
		}
		e := entry{hash: uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]),
			out: b[3] >> 4, held: b[3] & maxHeld,
			passed: binary.BigEndian.Uint16(b[4:]), rate: b[6] & maxRate, store: b[7]}
		b = b[entrySize:]
		m.customers = append(m.customers, e)
	}
	return m, true
}

func (g *Gateway) onPeer(ev PeerMessage) {
	if ev.From < 0 || ev.From >= len(g.peers) || ev.From == g.set.SelfIndex {
		return
	}
	switch m := decode(ev.Data).(type) {
	case ask:
		if int(m.Plan) < len(g.set.Plans) && int(m.Class) < len(g.set.Classes) && m.Spread > 0 {
			g.onAsk(ev.From, m)
		}
	case answer:
		g.onAnswer(ev.From, m)
	case ended:
		g.onEnded(ev.From, m)
	case sight:
		s := g.servers[ServerID(m.Server)]
		if s != nil && slices.Contains(s.watchers[:], g.set.SelfIndex) && int(m.Class) < len(s.by) {
			g.gather(s, int(m.Class), ResultCode(m.Code), time.Duration(m.Latency)*time.Millisecond)
		}
	case verdict:
		g.onVerdict(m)
	case report:
		g.onReport(g.peers[ev.From], m)
	}
}
