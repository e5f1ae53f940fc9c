// Package wire encodes and decodes the line protocol of a simulator: it turns lines into events of package policy,
// and actions of the policy into lines. It makes no decisions. The verbs of the protocol are used in this package
// only.
//
// A batch holds the events of one instant. It starts with a FRAME line, which has the time in milliseconds, and ends
// with an EOF_BATCH line. Each line in between is an event for one instance, or starts a TABLE: an endpoint list that
// MEMBERSHIP lines of this batch and later ones refer to by its number.
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

// readBufferBytes is the size of the decoder's read buffer. It does not limit the length of a line.
const readBufferBytes = 1 << 16

// Verbs of lines that are not events.
const (
	beginBatch       = "FRAME"
	endBatch         = "EOF_BATCH"
	endpointListVerb = "TABLE"
)

// Configure starts an instance, or replaces it by one without state.
type Configure struct {
	Seed     uint64
	Settings policy.Settings
}

// Kill removes an instance and its state.
type Kill struct{}

// InstanceEvent is one event of a batch for one instance. Event is a policy.Event, a Configure or a Kill; it
// is nil for an event that the policy does not use.
type InstanceEvent struct {
	Instance string
	Line     int // line number in the input, from 1
	Event    any
}

// Batch is the events of one instant, in order.
type Batch struct {
	Now    time.Duration
	Events []InstanceEvent
}

// Decoder reads batches of events. It is not safe for concurrent use.
type Decoder struct {
	reader        *bufio.Reader
	line          int
	endpointLists map[int][]policy.Server
}

// NewDecoder returns a Decoder that reads from r. It buffers, and may read past the batches that Next has returned.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(r, readBufferBytes), endpointLists: map[int][]policy.Server{}}
}

// Line returns the number of the last line read, from 1.
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
		if verb == endpointListVerb {
			err = d.readEndpointList(f)
		} else {
			err = d.readEvent(&b, verb, f)
		}
		if err != nil {
			return b, err
		}
	}
}

// readBegin skips empty lines and reads the line that starts the next batch. It returns the time of the batch.
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

// readLine reads a line and strips its line ending, which may be missing on the last line.
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

// readEvent decodes the event of a line and adds it to a batch.
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
	b.Events = append(b.Events, item)
	return nil
}

// eventDecoders decode the fields that follow an event's verb and instance.
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
	"LEDGER_REPLY": decodeCounterResponse,
}

// endpointUpdateKinds maps the kinds of MEMBERSHIP lines.
var endpointUpdateKinds = map[string]policy.EndpointUpdateKind{
	"changes":    policy.DeltaUpdate,
	"all":        policy.SnapshotUpdate,
	"remembered": policy.CachedUpdate,
	"refused":    policy.WatchFailed,
}

// resultCodes maps the result codes of VERDICT, PROBE_RESULT and LEDGER_REPLY lines.
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
	c.Settings, f.err = parseSettingPairs(f.remaining)
	f.remaining = nil
	return c
}

func decodeEndpointUpdate(d *Decoder, f *fields) any {
	kind, known := endpointUpdateKinds[f.text()]
	f.skip() // version of the list
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
	list, found := d.endpointLists[number]
	if err != nil || !found {
		f.fail(fmt.Errorf("no endpoint list %q", clip(table)))
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
	f.skip() // usage according to the external counter; the policy uses the totals that peers exchange
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

// decodeProbeResult checks the fields of an event that the policy does not use.
func decodeProbeResult(_ *Decoder, f *fields) any {
	f.serverID()
	f.resultCode()
	f.milliseconds()
	f.numbers()
	return nil
}

// decodeCounterResponse checks the fields of an event that the policy does not use.
func decodeCounterResponse(_ *Decoder, f *fields) any {
	f.skip()
	f.resultCode()
	f.number()
	f.milliseconds()
	return nil
}
