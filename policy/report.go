package policy

import (
	"encoding/binary"
	"hash/fnv"
)

// keyOf names a customer in messages, shortOf in reports.
func keyOf(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

func shortOf(key uint64) uint32 { return uint32(key >> 40) }

// The short messages of a large fleet. On the wire: version, kind, fields.

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
	refused
	waits // held at the root, another answer follows
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
	var kind byte
	switch m.(type) {
	case answer:
		kind = 1
	case ended:
		kind = 2
	case sight:
		kind = 3
	case verdict:
		kind = 4
	}
	b, err := binary.Append([]byte{shortVersion, kind}, binary.BigEndian, m)
	if err != nil {
		panic(err) // not a message of this file
	}
	return b
}

// decode reads a message; it is nil for anything but a whole, well-formed one.
func decode(b []byte) any {
	if len(b) < 2 || b[0] != shortVersion {
		if m, ok := decodeReport(b); ok {
			return m
		}
		return nil
	}
	switch b[1] {
	case 0:
		return fixed[ask](b[2:])
	case 1:
		return fixed[answer](b[2:])
	case 2:
		return fixed[ended](b[2:])
	case 3:
		return fixed[sight](b[2:])
	case 4:
		return fixed[verdict](b[2:])
	}
	return nil
}

func fixed[T any](b []byte) any {
	var m T
	if n, err := binary.Decode(b, binary.BigEndian, &m); err != nil || n != len(b) {
		return nil
	}
	return m
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
	hash    uint32 // 24 bits
	out     byte   // mean attempts out over the tick: outScale times its root, up to 15
	held    byte   // up to maxHeld
	passed  byte   // running total of units passed
	rate    byte   // units asked for a second: rateScale * log2(1 + rate), up to maxRate
	store   byte   // estimate of the store, 250 full
	ceiling bool   // whether level and gift are there
	level   byte   // filling of the ceiling's own part, 250 full
	gift    byte   // units of it given to the receiver, in 32nds
}

const (
	reportVersion = 2
	flagComplete  = 1
	flagCeiling   = 0x80
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
	entrySize     = 7
	rateScale     = 8
	ceilingSize   = 2
)

// fits tells whether one more customer fits in.
func (m *report) fits() bool {
	n := headerSize + serverSize*len(m.servers) + (entrySize+ceilingSize)*(len(m.customers)+1)
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
		rate := e.rate
		if e.ceiling {
			rate |= flagCeiling
		}
		b = append(b, byte(e.hash>>16), byte(e.hash>>8), byte(e.hash), e.out<<4|e.held, e.passed, rate, e.store)
		if e.ceiling {
			b = append(b, e.level, e.gift)
		}
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
		e := entry{hash: uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]), out: b[3] >> 4, held: b[3] & maxHeld,
			passed: b[4], rate: b[5] & maxRate, ceiling: b[5]&flagCeiling != 0, store: b[6]}
		b = b[entrySize:]
		if e.ceiling {
			if len(b) < ceilingSize {
				return m, false
			}
			e.level, e.gift = b[0], b[1]
			b = b[ceilingSize:]
		}
		m.customers = append(m.customers, e)
	}
	return m, true
}
