package policy

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// leaseRequest asks a customer's root to count a request.
type leaseRequest struct {
	Customer                    uint64
	FirstGateway, GatewaySpread uint16
	Plan, Class                 byte
	Units, RemainingMS          uint16 // Left: milliseconds until the client gives up
	Tag                         uint32
	Chance                      byte // with what chance it was asked for, 250 certain
	Fill                        byte // of the store as last heard, 250 full
	ClientRetry                 bool
}

// leaseResponse is the root's.
type leaseResponse struct {
	Tag            uint32
	Decision, Fill byte
	Overload       byte // the root's latency over aim, 100 alike
	AdmittedShare  byte // of what is asked for fits, 250 all
}

const (
	leaseGranted  byte = iota
	leaseRejected      // and above it the reason, which an older gateway reads as refused too
	leaseQueued        // held at the root, another answer follows

	reasonShift = 2
)

// leaseReturn tells the root that a granted attempt is over, or was never made.
type leaseReturn struct {
	Customer uint64
	Tag      uint32
	Unused   bool
}

// outcomeReport tells a server's watcher of an outcome.
type outcomeReport struct {
	Server    uint32
	Class     byte
	Code      byte
	LatencyMS uint16 // milliseconds
}

// outlierReport is the watcher's on a server and class, for all.
type outlierReport struct {
	Server         uint32
	EjectedClasses byte // a bit for each of the first classes
	LatencyRatio   byte // latency against the fleet's: 16 * (4 + its log2)
}

const shortMessageVersion = 3

func encode(m any) []byte {
	b := make([]byte, 2, 48)
	b[0] = shortMessageVersion
	be := binary.BigEndian
	switch m := m.(type) {
	case leaseRequest:
		b = be.AppendUint64(b, m.Customer)
		b = be.AppendUint16(be.AppendUint16(b, m.FirstGateway), m.GatewaySpread)
		b = append(b, m.Plan, m.Class)
		b = be.AppendUint16(be.AppendUint16(b, m.Units), m.RemainingMS)
		b = append(be.AppendUint32(b, m.Tag), m.Chance, m.Fill, boolByte(m.ClientRetry))
	case leaseResponse:
		b[1] = 1
		b = append(be.AppendUint32(b, m.Tag), m.Decision, m.Fill, m.Overload, m.AdmittedShare)
	case leaseReturn:
		b[1] = 2
		b = append(be.AppendUint32(be.AppendUint64(b, m.Customer), m.Tag), boolByte(m.Unused))
	case outcomeReport:
		b[1] = 3
		b = be.AppendUint16(append(be.AppendUint32(b, m.Server), m.Class, m.Code), m.LatencyMS)
	case outlierReport:
		b[1] = 4
		b = append(be.AppendUint32(b, m.Server), m.EjectedClasses, m.LatencyRatio)
	default:
		panic("policy: not a message of this file")
	}
	return b
}

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}

func saturatingByte(v float64) byte { return byte(min(math.Round(v), 255)) }

// shortMessageLengths of the messages without version and kind, by kind.
var shortMessageLengths = [...]int{8 + 2 + 2 + 1 + 1 + 2 + 2 + 4 + 3, 4 + 4, 8 + 4 + 1, 4 + 2 + 2, 4 + 2}

// decode reads a message; it is nil for anything but a whole, well-formed one.
func decode(b []byte) any {
	if len(b) < 2 || b[0] != shortMessageVersion {
		if m, ok := decodeReport(b); ok {
			return m
		}
		return nil
	}
	kind := b[1]
	if b = b[2:]; int(kind) >= len(shortMessageLengths) || len(b) != shortMessageLengths[kind] {
		return nil
	}
	be := binary.BigEndian
	switch kind {
	case 0:
		return leaseRequest{Customer: be.Uint64(b), FirstGateway: be.Uint16(b[8:]),
			GatewaySpread: be.Uint16(b[10:]),
			Plan:          b[12], Class: b[13], Units: be.Uint16(b[14:]), RemainingMS: be.Uint16(b[16:]),
			Tag: be.Uint32(b[18:]), Chance: b[22], Fill: b[23], ClientRetry: b[24] != 0}
	case 1:
		return leaseResponse{Tag: be.Uint32(b), Decision: b[4], Fill: b[5], Overload: b[6],
			AdmittedShare: b[7]}
	case 2:
		return leaseReturn{Customer: be.Uint64(b), Tag: be.Uint32(b[8:]), Unused: b[12] != 0}
	case 3:
		return outcomeReport{Server: be.Uint32(b), Class: b[4], Code: b[5], LatencyMS: be.Uint16(b[6:])}
	}
	return outlierReport{Server: be.Uint32(b), EjectedClasses: b[4], LatencyRatio: b[5]}
}

// loadReport is what a gateway tells a peer once a tick. On the wire: version,
// incarnation, sequence number, flags, number of servers, servers, customers.
type loadReport struct {
	incarnation uint32 // drawn anew at each start of the sender
	sequence    uint32
	complete    bool // customers not named have none out and none held
	servers     []reportedServer
	customers   []reportedCustomer
}

// reportedServer is the sender's attempts out at a server, up to maxOut; the hash
// has serverBits bits.
type reportedServer struct {
	hash     uint16
	inFlight byte
}

// reportedCustomer is a report's part on one customer.
type reportedCustomer struct {
	hash          uint32 // 24 bits
	inFlight      byte   // mean attempts out over the tick: outScale times its root, up to 15
	queued        byte   // up to maxHeld
	admittedUnits uint16 // running total of units passed
	demand        byte   // units asked for a second: rateScale * log2(1 + rate), up to maxRate
	fill          byte   // estimate of the store, 250 full
}

const (
	reportVersion         = 4
	flagComplete          = 1
	maxReportedDemand     = 0x7f
	maxReportedQueued     = 15
	maxReportedInFlight   = 31
	serverHashBits        = 11
	inFlightScale         = 4
	maxReportedServers    = 36
	unknownFill           = 255
	maxMessageBytes       = 256
	reportHeaderBytes     = 11
	reportedServerBytes   = 2
	reportedCustomerBytes = 8
	demandScale           = 8
)

// fits tells whether one more customer fits in.
func (m *loadReport) fits() bool {
	n := reportHeaderBytes + reportedServerBytes*len(m.servers) + reportedCustomerBytes*(len(m.customers)+1)
	return n <= maxMessageBytes
}

func (m *loadReport) encode() []byte {
	b := make([]byte, 0, maxMessageBytes)
	b = append(b, reportVersion)
	b = binary.BigEndian.AppendUint32(b, m.incarnation)
	b = binary.BigEndian.AppendUint32(b, m.sequence)
	flags := byte(0)
	if m.complete {
		flags = flagComplete
	}
	b = append(b, flags, byte(len(m.servers)))
	for _, s := range m.servers {
		b = binary.BigEndian.AppendUint16(b, s.hash<<(16-serverHashBits)|uint16(s.inFlight))
	}
	for _, e := range m.customers {
		b = append(b, byte(e.hash>>16), byte(e.hash>>8), byte(e.hash), e.inFlight<<4|e.queued)
		b = binary.BigEndian.AppendUint16(b, e.admittedUnits)
		b = append(b, e.demand, e.fill)
	}
	return b
}

// decodeReport reads a report; anything but a whole, well-formed one is not ok.
func decodeReport(b []byte) (m loadReport, ok bool) {
	if len(b) < reportHeaderBytes || len(b) > maxMessageBytes || b[0] != reportVersion {
		return m, false
	}
	m.incarnation, m.sequence = binary.BigEndian.Uint32(b[1:]), binary.BigEndian.Uint32(b[5:])
	m.complete = b[9]&flagComplete != 0
	n := int(b[10])
	b = b[reportHeaderBytes:]
	if len(b) < n*reportedServerBytes {
		return m, false
	}
	for range n {
		v := binary.BigEndian.Uint16(b)
		m.servers = append(m.servers, reportedServer{v >> (16 - serverHashBits),
			byte(v & maxReportedInFlight)})
		b = b[reportedServerBytes:]
	}
	for len(b) > 0 {
		if len(b) < reportedCustomerBytes {
			return m, false
		}
		e := reportedCustomer{hash: uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]),
			inFlight: b[3] >> 4, queued: b[3] & maxReportedQueued,
			admittedUnits: binary.BigEndian.Uint16(b[4:]), demand: b[6] & maxReportedDemand, fill: b[7]}
		b = b[reportedCustomerBytes:]
		m.customers = append(m.customers, e)
	}
	return m, true
}

func (g *Gateway) handlePeerMessage(ev PeerMessage) {
	if ev.From < 0 || ev.From >= len(g.peers) || ev.From == g.settings.SelfIndex {
		return
	}
	switch m := decode(ev.Data).(type) {
	case leaseRequest:
		if int(m.Plan) < len(g.settings.Plans) && int(m.Class) < len(g.settings.Classes) &&
			m.GatewaySpread > 0 {
			g.handleLeaseRequest(ev.From, m)
		}
	case leaseResponse:
		g.handleLeaseResponse(ev.From, m)
	case leaseReturn:
		g.handleLeaseReturn(ev.From, m)
	case outcomeReport:
		s := g.servers[ServerID(m.Server)]
		if s != nil && slices.Contains(s.monitors[:], g.settings.SelfIndex) &&
			int(m.Class) < len(s.health) {
			g.observeOutcome(s, int(m.Class), ResultCode(m.Code),
				time.Duration(m.LatencyMS)*time.Millisecond)
		}
	case outlierReport:
		g.applyOutlierReport(m)
	case loadReport:
		g.handleLoadReport(g.peers[ev.From], m)
	}
}
