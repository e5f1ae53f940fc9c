package policy

import (
	"encoding/binary"
	"math"
)

// loadReport is the periodic message of a gateway to a peer. Its order on the wire: version, incarnation,
// sequence number, flags, number of servers, servers, customers.
type loadReport struct {
	incarnation uint32 // drawn anew at each start of the sender
	sequence    uint32
	complete    bool // customers that are not listed have nothing in flight and nothing queued
	servers     []reportedServer
	customers   []reportedCustomer
}

// reportedServer is the number of the sender's attempts in flight at a server.
type reportedServer struct {
	hash     uint16 // serverHash of the server's ID, of serverHashBits bits
	inFlight byte   // up to maxReportedInFlight
}

// reportedCustomer is the part of a report on one customer.
type reportedCustomer struct {
	hash          uint32 // customerReportHash, of 24 bits
	inFlight      byte   // mean over the tick, encoded by encodeInFlight
	queued        byte   // up to maxReportedQueued
	admittedUnits uint16 // running total, wraps around
	demand        byte   // encoded by encodeDemand
	fill          byte   // encoded by encodeFill, or unknownFill
}

const (
	loadReportVersion     = 4
	flagComplete          = 1
	reportHeaderBytes     = 11
	reportedServerBytes   = 2
	reportedCustomerBytes = 8

	// maxReportedServers is the maximum number of servers in a report. It leaves space for customers.
	maxReportedServers = 36

	// serverHashBits is the size of a server's hash, which shares 16 bits with the 5 bits of
	// maxReportedInFlight.
	serverHashBits      = 11
	maxReportedInFlight = 31

	// maxReportedQueued is the maximum number of queued requests in a report. Its 4 bits share a byte with
	// the customer's attempts in flight.
	maxReportedQueued = 15

	// maxReportedDemand is the largest encoded demand. The highest bit is reserved.
	maxReportedDemand = 0x7f

	// inFlightScale times the square root of the attempts in flight is the reported value, up to
	// maxEncodedInFlight (about 14 attempts): this quantization is finer for small numbers than for large
	// ones.
	inFlightScale      = 4
	maxEncodedInFlight = 15

	// demandScale is the number of steps for each doubling of demand.
	demandScale = 8
)

func encodeInFlight(mean float64) byte {
	return byte(min(math.Round(inFlightScale*math.Sqrt(mean)), maxEncodedInFlight))
}

func decodeInFlight(b byte) float64 { return math.Pow(float64(b)/inFlightScale, 2) }

// encodeDemand encodes units a second.
func encodeDemand(unitsPerSecond float64) byte {
	return min(maxReportedDemand, saturatingByte(demandScale*math.Log2(1+unitsPerSecond)))
}

func decodeDemand(b byte) float64 { return math.Exp2(float64(b)/demandScale) - 1 }

// fitsCustomer reports whether the message can hold one more customer.
func (m loadReport) fitsCustomer() bool {
	size := reportHeaderBytes + reportedServerBytes*len(m.servers)
	size += reportedCustomerBytes * (len(m.customers) + 1)
	return size <= maxMessageBytes
}

func (m loadReport) encode() []byte {
	b := make([]byte, 0, maxMessageBytes)
	b = append(b, loadReportVersion)
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
	for _, c := range m.customers {
		b = append(b, byte(c.hash>>16), byte(c.hash>>8), byte(c.hash), c.inFlight<<4|c.queued)
		b = binary.BigEndian.AppendUint16(b, c.admittedUnits)
		b = append(b, c.demand, c.fill)
	}
	return b
}

// decodeLoadReport reads a report. It returns false for a report that is truncated or malformed.
func decodeLoadReport(b []byte) (m loadReport, ok bool) {
	if len(b) < reportHeaderBytes || len(b) > maxMessageBytes || b[0] != loadReportVersion {
		return m, false
	}
	m.incarnation = binary.BigEndian.Uint32(b[1:])
	m.sequence = binary.BigEndian.Uint32(b[5:])
	m.complete = b[9]&flagComplete != 0
	servers := int(b[10])
	b = b[reportHeaderBytes:]
	if len(b) < servers*reportedServerBytes {
		return m, false
	}
	for range servers {
		m.servers = append(m.servers, decodeReportedServer(b))
		b = b[reportedServerBytes:]
	}
	for len(b) > 0 {
		if len(b) < reportedCustomerBytes {
			return m, false
		}
		m.customers = append(m.customers, decodeReportedCustomer(b))
		b = b[reportedCustomerBytes:]
	}
	return m, true
}

func decodeReportedServer(b []byte) reportedServer {
	v := binary.BigEndian.Uint16(b)
	return reportedServer{hash: v >> (16 - serverHashBits), inFlight: byte(v & maxReportedInFlight)}
}

func decodeReportedCustomer(b []byte) reportedCustomer {
	return reportedCustomer{
		hash:          uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]),
		inFlight:      b[3] >> 4,
		queued:        b[3] & maxReportedQueued,
		admittedUnits: binary.BigEndian.Uint16(b[4:]),
		demand:        b[6] & maxReportedDemand,
		fill:          b[7],
	}
}
