package policy

import "encoding/binary"

// report is what a gateway tells a peer once a tick. On the wire: version,
// incarnation, sequence number, flags, number of servers, servers, customers.
type report struct {
	inc       uint32 // drawn anew at each start of the sender
	seq       uint32
	complete  bool // customers not named have none out and none held
	servers   []serverOut
	customers []entry
}

// serverOut is the sender's attempts out at a server, in quarters.
type serverOut struct {
	hash uint16
	out  byte
}

// entry is a report's part on one customer.
type entry struct {
	hash    uint32
	out     byte   // mean attempts out over the tick, in eighths
	held    byte   // up to maxHeld
	passed  uint16 // running total of units passed
	rate    byte   // units asked for a second: rateScale * log2(1 + rate)
	store   byte   // estimate of the store, 250 full
	ceiling bool   // whether level and gift are there
	level   byte   // filling of the ceiling's own part, 250 full
	gift    byte   // units of it given to the receiver, in 32nds
}

const (
	reportVersion = 1
	flagComplete  = 1
	flagCeiling   = 0x80
	maxHeld       = 0x7f
	maxServers    = 30
	unknownStore  = 255
	maxMessage    = 256
	headerSize    = 11
	serverSize    = 3
	entrySize     = 10
	rateScale     = 16
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
		b = binary.BigEndian.AppendUint16(b, s.hash)
		b = append(b, s.out)
	}
	for _, e := range m.customers {
		held := e.held
		if e.ceiling {
			held |= flagCeiling
		}
		b = binary.BigEndian.AppendUint32(b, e.hash)
		b = append(b, e.out, held)
		b = binary.BigEndian.AppendUint16(b, e.passed)
		b = append(b, e.rate, e.store)
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
		m.servers = append(m.servers, serverOut{binary.BigEndian.Uint16(b), b[2]})
		b = b[serverSize:]
	}
	for len(b) > 0 {
		if len(b) < entrySize {
			return m, false
		}
		e := entry{hash: binary.BigEndian.Uint32(b), out: b[4], held: b[5] & maxHeld,
			passed: binary.BigEndian.Uint16(b[6:]), rate: b[8], store: b[9]}
		e.ceiling = b[5]&flagCeiling != 0
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
