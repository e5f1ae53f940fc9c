package policy

import (
	"encoding/binary"
	"math"
	"time"
)

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

// onEnded frees what a member's attempt held, and gives back what it never used.
func (g *Gateway) onEnded(from int, m ended) {
	c := g.customers[m.Customer]
	if c == nil {
		return
	}
	l, ok := c.leases[lease{from, m.Tag}]
	if !ok {
		return
	}
	delete(c.leases, lease{from, m.Tag})
	c.count(g.now, -1)
	g.advance(c)
	if m.Unused {
		c.store = min(c.plan.Burst, c.store+l.r.units)
	}
	g.release(c)
}

func (g *Gateway) record(s *server, cl *class) *record {
	if cl.no >= len(s.by) || cl.Name == "" {
		return nil
	}
	return &s.by[cl.no]
}

func (g *Gateway) sight(s *server, cl *class, code ResultCode, latency time.Duration) {
	if cl.Name == "" {
		return // not in the settings
	}
	for i, w := range s.watchers {
		if i > 0 && (code != ConnectFailed || !g.tree) {
			break
		}
		if w == g.set.SelfIndex {
			g.gather(s, cl.no, code, latency)
			continue
		}
		ms := uint16(min(max(0, latency.Milliseconds()), math.MaxUint16))
		g.do(SendPeerMessage{To: w, Data: encode(sight{uint32(s.ID), byte(cl.no), byte(code), ms})})
	}
}

func (g *Gateway) onVerdict(m verdict) {
	s := g.servers[ServerID(m.Server)]
	if s == nil {
		return
	}
	for i := range s.by {
		s.by[i].bad, s.by[i].until = m.Bad>>i&1 == 1, g.now+verdictLife
	}
	s.slow = math.Exp2(float64(m.Pace)/16 - 4)
}

// askOf makes the message that asks for a request.
func (g *Gateway) askOf(r *request) ask {
	c, left := r.c, (r.deadline - g.now).Milliseconds()
	m := ask{Customer: c.key, First: uint16(c.first), Spread: uint16(min(c.nodes, 65535)), Plan: c.plan.no,
		Class: byte(r.cl.no), Units: uint16(r.units), Left: uint16(min(max(0, left), math.MaxUint16)),
		Tag: r.tag, Repeat: r.repeat, Fill: unknownStore, Thin: small(250 * r.asks)}
	if c.told > 0 {
		m.Fill = small(250 * max(0, c.store) / max(1, c.plan.Burst))
	}
	return m
}

// requestOf makes the request that another gateway asks for.
func (g *Gateway) requestOf(c *customer, from int, m ask) *request {
	return &request{c: c, cl: g.classes[g.set.Classes[m.Class].Name], units: float64(m.Units), arrived: g.now,
		deadline: g.now + time.Duration(m.Left)*time.Millisecond, repeat: m.Repeat, remote: true, root: from,
		tag: m.Tag}
}

// masks gives a bit for each class: told to be out of use, until when, and so
// now.
func (s *server) masks(isBad func(*record) bool) (told, bad byte, until time.Duration) {
	for i := range s.by {
		v := &s.by[i]
		if v.bad {
			told |= 1 << i
			until = v.until
		}
		if isBad(v) {
			bad |= 1 << i
		}
	}
	return told, bad, until
}

// watchers names the gateways that judge a server: in a small fleet each
// judges for itself.
func (g *Gateway) watchers(h uint32) [2]int {
	if !g.tree {
		return [2]int{g.set.SelfIndex, g.set.SelfIndex}
	}
	n := uint32(g.set.Gateways)
	return [2]int{int(h % n), int((h + 1) % n)}
}
