// Package wire reads and writes the line protocol of the bench: it turns lines into events of package policy,
// and actions into lines. It makes no decisions. The words of the protocol stand in this package only.
//
// A batch holds what happens at one instant, from a FRAME line with the time in milliseconds to EOF_BATCH.
// Each line between them is an event for one instance, or a TABLE: a server list that MEMBERSHIP lines of
// this and later batches refer to by number.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"yardcleat.example/yardcleat/policy"
)

// readBufferBytes is the size of the decoder's read buffer. Lines may be longer.
const readBufferBytes = 1 << 16

// Lines that are no events.
const (
	beginBatch = "FRAME"
	endBatch   = "EOF_BATCH"
	tableVerb  = "TABLE"
)

// Configure starts an instance, with nothing remembered.
type Configure struct {
	Seed     uint64
	Settings policy.Settings
}

// Kill ends an instance.
type Kill struct{}

// InstanceEvent is one event of a batch for one instance. Event is a policy.Event, a Configure or a Kill; it
// is nil for an event that no decision needs.
type InstanceEvent struct {
	Instance string
	Line     int // of the input, from 1
	Event    any
}

// Batch is what happens at one instant, in order.
type Batch struct {
	Now   time.Duration
	Items []InstanceEvent
}

// Decoder reads batches. It is not safe for concurrent use.
type Decoder struct {
	reader *bufio.Reader
	line   int
	tables map[int][]policy.Server
}

// NewDecoder returns a Decoder that reads from r. It may read more than the batches that Next returns.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(r, readBufferBytes), tables: map[int][]policy.Server{}}
}

// Line is the number of the line read last, from 1.
func (d *Decoder) Line() int { return d.line }

// Next reads one batch. It returns io.EOF at the end of input between batches; every other error is a
// *LineError.
func (d *Decoder) Next() (Batch, error) {
	now, err := d.readBegin()
	if err != nil {
		return Batch{}, err
	}
	b := Batch{Now: now}
	for {
		line, err := d.readLine()
		if errors.Is(err, io.EOF) {
			return b, d.fail(ErrEndInsideBatch)
		}
		if err != nil {
			return b, d.fail(err)
		}
		if line == endBatch {
			return b, nil
		}
		f := splitLine(line)
		verb := f.text()
		if verb == tableVerb {
			err = d.readTable(f)
		} else {
			err = d.readEvent(&b, verb, f)
		}
		if err != nil {
			return b, err
		}
	}
}

// readBegin reads the time of the next batch, past empty lines.
func (d *Decoder) readBegin() (time.Duration, error) {
	line := ""
	for line == "" {
		var err error
		line, err = d.readLine()
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		if err != nil {
			return 0, d.fail(err)
		}
	}
	f := splitLine(line)
	if f.text() != beginBatch {
		return 0, d.fail(fmt.Errorf("a batch starts with %s, not %q", beginBatch, clip(line)))
	}
	now := f.milliseconds()
	if err := f.end(); err != nil {
		return 0, d.fail(&VerbError{beginBatch, err})
	}
	return now, nil
}

// readLine reads a line without its end. The last line needs none.
func (d *Decoder) readLine() (string, error) {
	line, err := d.reader.ReadString('\n')
	isLast := errors.Is(err, io.EOF) && line != ""
	if err != nil && !isLast {
		return "", err
	}
	d.line++
	return strings.TrimRight(line, "\r\n"), nil
}

func (d *Decoder) fail(err error) error { return &LineError{d.line, err} }

// readEvent adds the event of a line to a batch.
func (d *Decoder) readEvent(b *Batch, verb string, f *fields) error {
	item := InstanceEvent{Line: d.line, Instance: f.text()}
	decode, known := eventDecoders[verb]
	if !known {
		return d.fail(&UnknownTokenError{"event", clip(verb)})
	}
	item.Event = decode(d, f)
	if err := f.end(); err != nil {
		return d.fail(&VerbError{verb, err})
	}
	b.Items = append(b.Items, item)
	return nil
}

// eventDecoders read the fields of an event after its verb and instance.
var eventDecoders = map[string]func(*Decoder, *fields) any{
	"CONFIGURE":    decodeConfigure,
	"CRASH_NOW":    func(*Decoder, *fields) any { return Kill{} },
	"MEMBERSHIP":   decodeEndpointUpdate,
	"INGRESS":      decodeRequest,
	"ACCEPTED":     decodeResponseStarted,
	"VERDICT":      decodeAttemptResult,
	"LAPSED":       decodeClientDisconnected,
	"ELAPSED":      decodeTimerFired,
	"WHISPER":      decodePeerMessage,
	"PROBE_RESULT": decodeProbeResult,
	"LEDGER_REPLY": decodeLedgerReply,
}

// endpointUpdateKinds are the words of MEMBERSHIP lines.
var endpointUpdateKinds = map[string]policy.EndpointUpdateKind{
	"changes":    policy.DeltaUpdate,
	"all":        policy.SnapshotUpdate,
	"remembered": policy.CachedUpdate,
	"refused":    policy.WatchFailed,
}

// resultCodes are the words of VERDICT lines.
var resultCodes = map[string]policy.ResultCode{
	"OK":                 policy.OK,
	"INTERNAL":           policy.Error,
	"RESOURCE_EXHAUSTED": policy.Rejected,
	"DEADLINE_EXCEEDED":  policy.TimedOut,
	"UNAVAILABLE":        policy.ConnectFailed,
	"ABORTED":            policy.Reset,
	"CANCELLED":          policy.Cancelled,
	"TOO_LATE":           policy.TooLate,
}

func decodeConfigure(_ *Decoder, f *fields) any {
	c := Configure{Seed: f.unsigned(64)}
	if f.err != nil {
		return nil
	}
	c.Settings, f.err = settings(f.words)
	f.words = nil
	return c
}

func decodeEndpointUpdate(d *Decoder, f *fields) any {
	kind, known := endpointUpdateKinds[f.text()]
	f.skip() // the list's version
	table := f.text()
	update := policy.EndpointUpdate{Kind: kind}
	if f.err != nil || known && kind == policy.WatchFailed {
		return update
	}
	if !known {
		f.fail(&UnknownTokenError{Kind: "kind"})
		return nil
	}
	number, err := strconv.Atoi(table)
	list, found := d.tables[number]
	if err != nil || !found {
		f.fail(fmt.Errorf("no list %q", clip(table)))
		return nil
	}
	update.Servers = list
	return update
}

func decodeRequest(_ *Decoder, f *fields) any {
	const clientRetryFlag = 2
	var r policy.Request
	r.ID = f.requestID()
	r.GatewaySpread = f.integer()
	r.Class = f.text()
	r.FirstGateway = f.integer()
	r.Remaining = f.milliseconds()
	r.Units = f.number()
	r.ClientRetry = f.integer()&clientRetryFlag != 0
	r.Customer = f.text()
	r.Plan = f.text()
	return r
}

func decodeResponseStarted(_ *Decoder, f *fields) any {
	var s policy.ResponseStarted
	s.ID = f.requestID()
	s.Attempt = f.integer()
	s.Server = f.serverID()
	f.skip() // latency
	return s
}

func decodeAttemptResult(_ *Decoder, f *fields) any {
	var r policy.AttemptResult
	r.ID = f.requestID()
	r.Attempt = f.integer()
	f.skip() // the meter's figure: peers' totals are what counts here
	r.Latency = f.milliseconds()
	r.Server = f.serverID()
	r.Answered = f.boolean()
	r.ActualUnits = f.number()
	r.Code = f.resultCode()
	r.LoadMetrics = f.numbers()
	return r
}

func decodeClientDisconnected(_ *Decoder, f *fields) any {
	return policy.ClientDisconnected{ID: f.requestID()}
}

func decodeTimerFired(_ *Decoder, f *fields) any { return policy.TimerFired{Token: f.text()} }

func decodePeerMessage(_ *Decoder, f *fields) any {
	var m policy.PeerMessage
	m.From = f.integer()
	m.Data = f.bytes()
	return m
}

// decodeProbeResult checks a line that no decision needs.
func decodeProbeResult(_ *Decoder, f *fields) any {
	f.serverID()
	f.resultCode()
	f.milliseconds()
	f.numbers()
	return nil
}

// decodeLedgerReply checks a line that no decision needs.
func decodeLedgerReply(_ *Decoder, f *fields) any {
	f.skip()
	f.resultCode()
	f.number()
	f.milliseconds()
	return nil
}
