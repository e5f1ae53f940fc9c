package policy

import (
	"encoding/binary"
	"math"
	"time"
)

// Messages between gateways. Numbers are big endian. The formats must not change: gateways of
// different builds run side by side while a fleet is updated.

// peerMessage is a message to another gateway.
type peerMessage interface {
	// encode returns the message's bytes, at most maxMessageBytes.
	encode() []byte
}

const (
	// maxMessageBytes is the maximum size of a message in SendPeerMessage.
	maxMessageBytes = 256

	// shortMessageVersion is the first byte of every message except load reports; a messageKind follows.
	shortMessageVersion = 3

	// shortMessageHeaderBytes is the size of the version and the kind.
	shortMessageHeaderBytes = 2

	// shortMessageCapacity is a buffer size in bytes that holds any short message.
	shortMessageCapacity = 48
)

// messageKind is the second byte of a short message.
type messageKind byte

const (
	kindLeaseRequest messageKind = iota
	kindLeaseResponse
	kindLeaseReturn
	kindOutcomeReport
	kindOutlierReport
)

// shortMessageLengths are the lengths in bytes of short messages, by kind, without their header.
var shortMessageLengths = [...]int{
	kindLeaseRequest:  8 + 2 + 2 + 1 + 1 + 2 + 2 + 4 + 1 + 1 + 1,
	kindLeaseResponse: 4 + 1 + 1 + 1 + 1,
	kindLeaseReturn:   8 + 4 + 1,
	kindOutcomeReport: 4 + 1 + 1 + 2,
	kindOutlierReport: 4 + 1 + 1, // and the further classes
}

// leaseRequest requests a lease for one request from a customer's leader.
type leaseRequest struct {
	Customer      uint64 // customerKey
	FirstGateway  uint16
	GatewaySpread uint16
	Plan          byte    // position in the settings
	Class         byte    // position in the settings
	Units         float64 // encoded by encodeUnits
	RemainingMS   uint16  // time left until the client times out, in milliseconds
	Tag           uint32  // identifies the lease between the two gateways
	Chance        byte    // probability with which a lease was requested at all, encoded by encodeShare
	Fill          byte    // fill of the bucket as the leader last reported it, or unknownFill
	ClientRetry   bool
}

// leaseResponse answers a leaseRequest. After leaseQueued another one follows.
type leaseResponse struct {
	Tag           uint32
	Decision      byte // leaseGranted, leaseQueued, or leaseRejected plus a Reason shifted by reasonShift
	Fill          byte // fill of the bucket, encoded by encodeFill
	Overload      byte // overload of the leader, times overloadScale
	AdmittedShare byte // share of the demand that fits the rate quota, encoded by encodeShare
}

// Decisions of lease responses.
const (
	leaseGranted  byte = iota
	leaseRejected      // the higher bits hold the Reason
	leaseQueued

	reasonShift = 2
)

// leaseReturn notifies the leader that a lease has ended.
type leaseReturn struct {
	Customer uint64 // customerKey
	Tag      uint32
	Unused   bool // no attempt was made: the leader refunds the units
}

// outcomeReport notifies a server's monitor of the result of an attempt.
type outcomeReport struct {
	Server    uint32
	Class     byte // position in the settings
	Code      byte // ResultCode
	LatencyMS uint16
}

// outlierReport notifies all gateways of the health of a server according to its monitor.
type outlierReport struct {
	Server         uint32
	EjectedClasses byte // a bit for each of the first eight classes of the settings
	LatencyRatio   byte // encoded by encodeLatencyRatio

	// FurtherClasses has a bit for each further class, eight to a byte, without zero bytes at the end.
	// Gateways of older builds drop reports in which it is not empty.
	FurtherClasses []byte
}

func (m leaseRequest) encode() []byte {
	b := newShortMessage(kindLeaseRequest)
	b = binary.BigEndian.AppendUint64(b, m.Customer)
	b = binary.BigEndian.AppendUint16(b, m.FirstGateway)
	b = binary.BigEndian.AppendUint16(b, m.GatewaySpread)
	b = append(b, m.Plan, m.Class)
	units, excess := encodeUnits(m.Units)
	b = binary.BigEndian.AppendUint16(b, units)
	b = binary.BigEndian.AppendUint16(b, m.RemainingMS)
	b = binary.BigEndian.AppendUint32(b, m.Tag)
	return append(b, m.Chance, m.Fill, excess<<excessShift|boolByte(m.ClientRetry))
}

func (m leaseResponse) encode() []byte {
	b := newShortMessage(kindLeaseResponse)
	b = binary.BigEndian.AppendUint32(b, m.Tag)
	return append(b, m.Decision, m.Fill, m.Overload, m.AdmittedShare)
}

func (m leaseReturn) encode() []byte {
	b := newShortMessage(kindLeaseReturn)
	b = binary.BigEndian.AppendUint64(b, m.Customer)
	b = binary.BigEndian.AppendUint32(b, m.Tag)
	return append(b, boolByte(m.Unused))
}

func (m outcomeReport) encode() []byte {
	b := newShortMessage(kindOutcomeReport)
	b = binary.BigEndian.AppendUint32(b, m.Server)
	b = append(b, m.Class, m.Code)
	return binary.BigEndian.AppendUint16(b, m.LatencyMS)
}

func (m outlierReport) encode() []byte {
	b := newShortMessage(kindOutlierReport)
	b = binary.BigEndian.AppendUint32(b, m.Server)
	b = append(b, m.EjectedClasses, m.LatencyRatio)
	return append(b, m.FurtherClasses...)
}

func newShortMessage(kind messageKind) []byte {
	b := make([]byte, 0, shortMessageCapacity)
	return append(b, shortMessageVersion, byte(kind))
}

// decode reads a message. It returns nil for a message that is truncated or malformed.
func decode(b []byte) peerMessage {
	if len(b) < shortMessageHeaderBytes || b[0] != shortMessageVersion {
		if m, ok := decodeLoadReport(b); ok {
			return m
		}
		return nil
	}
	kind := messageKind(b[1])
	b = b[shortMessageHeaderBytes:]
	if int(kind) >= len(shortMessageLengths) || !hasValidLength(kind, len(b)) {
		return nil
	}
	return decodeShortMessage(kind, b)
}

// hasValidLength reports whether a short message of a kind may have a length in bytes, without its header.
func hasValidLength(kind messageKind, length int) bool {
	further := length - shortMessageLengths[kind]
	return further == 0 || kind == kindOutlierReport && further > 0 && further < classSetBytes
}

// decodeShortMessage reads the fields of a short message, whose length must be valid.
func decodeShortMessage(kind messageKind, b []byte) peerMessage {
	number := binary.BigEndian
	switch kind {
	case kindLeaseRequest:
		return leaseRequest{
			Customer:      number.Uint64(b),
			FirstGateway:  number.Uint16(b[8:]),
			GatewaySpread: number.Uint16(b[10:]),
			Plan:          b[12],
			Class:         b[13],
			Units:         decodeUnits(number.Uint16(b[14:]), b[24]>>excessShift),
			RemainingMS:   number.Uint16(b[16:]),
			Tag:           number.Uint32(b[18:]),
			Chance:        b[22],
			Fill:          b[23],
			ClientRetry:   b[24]&1 != 0,
		}
	case kindLeaseResponse:
		return leaseResponse{
			Tag:           number.Uint32(b),
			Decision:      b[4],
			Fill:          b[5],
			Overload:      b[6],
			AdmittedShare: b[7],
		}
	case kindLeaseReturn:
		return leaseReturn{Customer: number.Uint64(b), Tag: number.Uint32(b[8:]), Unused: b[12] != 0}
	case kindOutcomeReport:
		return outcomeReport{Server: number.Uint32(b), Class: b[4], Code: b[5],
			LatencyMS: number.Uint16(b[6:])}
	case kindOutlierReport:
		m := outlierReport{Server: number.Uint32(b), EjectedClasses: b[4], LatencyRatio: b[5]}
		if len(b) > shortMessageLengths[kind] {
			m.FurtherClasses = b[shortMessageLengths[kind]:]
		}
		return m
	}
	return nil
}

// handlePeerMessage handles a message from another gateway. Malformed messages are dropped.
func (g *Gateway) handlePeerMessage(ev PeerMessage) {
	if ev.From < 0 || ev.From >= len(g.peers) || ev.From == g.settings.SelfIndex {
		return
	}
	switch m := decode(ev.Data).(type) {
	case leaseRequest:
		g.handleLeaseRequest(ev.From, m)
	case leaseResponse:
		g.handleLeaseResponse(ev.From, m)
	case leaseReturn:
		g.handleLeaseReturn(ev.From, m)
	case outcomeReport:
		g.handleOutcomeReport(m)
	case outlierReport:
		g.applyOutlierReport(m)
	case loadReport:
		g.handleLoadReport(g.peers[ev.From], m)
	}
}

// Units of lease requests.
const (
	// maxLeaseUnits is the largest number of units of a lease request.
	maxLeaseUnits = math.MaxUint16

	// excessScale is the number of steps in a unit. The steps share a byte with ClientRetry, which is the
	// lowest bit; excessShift is their position.
	excessScale = 128
	excessShift = 1
)

// encodeUnits encodes units, up to maxLeaseUnits, as whole units rounded up, and the excess of these over
// the units in steps of 1/excessScale, rounded down. Gateways of older builds read only the whole units,
// and treat a request with an excess as a client's retry, so that they grant less. They send 0 whole units
// for less than one unit; no other request has 0.
func encodeUnits(units float64) (whole uint16, excess byte) {
	up := max(1, math.Ceil(units))
	steps := math.Floor((up - units) * excessScale)
	return uint16(min(up, maxLeaseUnits)), byte(min(steps, excessScale-1))
}

// decodeUnits returns the units, at most 1/excessScale more than those passed to encodeUnits.
func decodeUnits(whole uint16, excess byte) float64 {
	return max(1, float64(whole)) - float64(excess)/excessScale
}

// Scales of one-byte values.
const (
	// wholeShare is the byte that stands for a share of 1.
	wholeShare = 250

	// unknownFill is the byte that stands for a fill that the sender does not know.
	unknownFill = 255

	// overloadScale is the byte that stands for an overload of 1.
	overloadScale = 100
)

func encodeShare(share float64) byte { return saturatingByte(wholeShare * share) }

func decodeShare(b byte) float64 { return float64(b) / wholeShare }

// encodeFill encodes the tokens of a bucket as a share of its capacity, both in units.
func encodeFill(tokens, capacity float64) byte {
	return saturatingByte(wholeShare * max(0, tokens) / capacity)
}

// decodeFill returns the tokens, in units, of a bucket of a capacity. The byte must not be unknownFill.
func decodeFill(b byte, capacity float64) float64 { return decodeShare(b) * capacity }

// saturatingByte rounds to the nearest whole number, at most 255. The value must not be below 0.
func saturatingByte(value float64) byte { return byte(min(math.Round(value), math.MaxUint8)) }

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}

// milliseconds returns a time in whole milliseconds, at most the largest 16-bit number (about 65 s).
func milliseconds(d time.Duration) uint16 {
	return uint16(min(max(0, d.Milliseconds()), math.MaxUint16))
}
