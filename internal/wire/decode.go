// Package wire reads and writes the line protocol of the bench. It holds no
// decisions: it turns lines into the events of package policy, and actions
// into lines.
package wire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"yardcleat.example/yardcleat/policy"
)

// Configure starts an instance, with nothing remembered.
type Configure struct {
	Seed     uint64
	Settings policy.Settings
}

// Kill ends an instance.
type Kill struct{}

// Item is one event of a batch for one instance. Event is a policy.Event, a
// Configure or a Kill; it is nil for an event no decision needs.
type Item struct {
	Node  string
	Line  int
	Event any
}

// Batch is what happens at one instant.
type Batch struct {
	Now   time.Duration
	Items []Item
}

// Decoder reads batches.
type Decoder struct {
	r      *bufio.Reader
	line   int
	tables map[int][]policy.Server
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, 1<<16), tables: map[int][]policy.Server{}}
}

// Line is the number of the line read last.
func (d *Decoder) Line() int { return d.line }

func (d *Decoder) next() (string, error) {
	s, err := d.r.ReadString('\n')
	if err != nil && !(errors.Is(err, io.EOF) && s != "") {
		return "", err
	}
	d.line++
	return strings.TrimRight(s, "\r\n"), nil
}

func (d *Decoder) fail(format string, args ...any) error {
	return fmt.Errorf("line %d: %s", d.line, fmt.Sprintf(format, args...))
}

// Next reads one batch. It returns io.EOF at the end of input between
// batches; every other error names the line and the reason.
func (d *Decoder) Next() (Batch, error) {
	var b Batch
	head := ""
	for head == "" {
		s, err := d.next()
		if errors.Is(err, io.EOF) {
			return b, io.EOF
		}
		if err != nil {
			return b, d.fail("%v", err)
		}
		head = s
	}
	f := parser{words: strings.Split(head, " ")}
	if f.text() != "FRAME" {
		return b, d.fail("a batch starts with FRAME, not %q", clip(head))
	}
	b.Now = f.ms()
	if err := f.end(); err != nil {
		return b, d.fail("FRAME: %v", err)
	}
	for {
		s, err := d.next()
		if errors.Is(err, io.EOF) {
			return b, d.fail("input ends inside a batch")
		}
		if err != nil {
			return b, d.fail("%v", err)
		}
		if s == "EOF_BATCH" {
			return b, nil
		}
		item, ok, err := d.event(s)
		if err != nil {
			return b, err
		}
		if ok {
			b.Items = append(b.Items, item)
		}
	}
}

func (d *Decoder) event(s string) (Item, bool, error) {
	f := parser{words: strings.Split(s, " ")}
	verb := f.text()
	if verb == "TABLE" {
		return Item{}, false, d.table(&f)
	}
	it := Item{Line: d.line}
	it.Node = f.text()
	switch verb {
	case "CONFIGURE":
		c := Configure{Seed: f.uint(64)}
		if f.err == nil {
			c.Settings, f.err = settings(f.words)
			f.words = nil
		}
		it.Event = c
	case "CRASH_NOW":
		it.Event = Kill{}
	case "MEMBERSHIP":
		kind, known := memberKinds[f.text()]
		f.skip() // the list's version
		m := policy.EndpointUpdate{Kind: kind}
		page := f.text()
		if f.err == nil && !known {
			return it, false, d.fail("MEMBERSHIP: unknown kind")
		}
		if f.err == nil && kind != policy.WatchFailed {
			n, err := strconv.Atoi(page)
			list, have := d.tables[n]
			if err != nil || !have {
				return it, false, d.fail("MEMBERSHIP: no list %q", clip(page))
			}
			m.Servers = list
		}
		it.Event = m
	case "INGRESS":
		r := policy.Request{ID: f.id(), GatewaySpread: f.int(), Class: f.text(), FirstGateway: f.int(), Remaining: f.ms()}
		r.Units = f.num()
		r.ClientRetry = f.int()&2 != 0
		r.Customer = f.text()
		r.Plan = f.text()
		it.Event = r
	case "ACCEPTED":
		it.Event = policy.ResponseStarted{ID: f.id(), Attempt: f.int(), Server: f.server()}
		f.skip() // latency
	case "VERDICT":
		o := policy.AttemptResult{ID: f.id(), Attempt: f.int()}
		f.skip() // the meter's figure: peers' totals are what counts here
		o.Latency = f.ms()
		o.Server = f.server()
		o.Answered = f.bool()
		o.ActualUnits = f.num()
		o.Code = f.code()
		o.LoadMetrics = f.row()
		it.Event = o
	case "LAPSED":
		it.Event = policy.ClientDisconnected{ID: f.id()}
	case "ELAPSED":
		it.Event = policy.TimerFired{Token: f.text()}
	case "WHISPER":
		it.Event = policy.PeerMessage{From: f.int(), Data: f.bytes()}
	case "PROBE_RESULT":
		f.server()
		f.code()
		f.ms()
		f.row()
	case "LEDGER_REPLY":
		f.skip()
		f.code()
		f.num()
		f.ms()
	default:
		return it, false, d.fail("unknown event %q", clip(verb))
	}
	if err := f.end(); err != nil {
		return it, false, d.fail("%s: %v", verb, err)
	}
	return it, true, nil
}

var memberKinds = map[string]policy.EndpointUpdateKind{"changes": policy.DeltaUpdate, "all": policy.SnapshotUpdate,
	"remembered": policy.CachedUpdate, "refused": policy.WatchFailed}

var states = map[string]policy.ServerState{"Running": policy.Running, "Stopping": policy.Draining,
	"Deleted": policy.Removed}

var codes = map[string]policy.ResultCode{"OK": policy.OK, "INTERNAL": policy.Error,
	"RESOURCE_EXHAUSTED": policy.Rejected, "DEADLINE_EXCEEDED": policy.TimedOut,
	"UNAVAILABLE": policy.ConnectFailed, "ABORTED": policy.Reset, "CANCELLED": policy.Cancelled,
	"TOO_LATE": policy.TooLate}

func (d *Decoder) table(f *parser) error {
	page, n := f.int(), f.int()
	if err := f.end(); err != nil {
		return d.fail("TABLE: %v", err)
	}
	if n < 0 || n > 1<<20 {
		return d.fail("TABLE: %d entries", n)
	}
	var list []policy.Server
	for range n {
		s, err := d.next()
		if err != nil {
			return d.fail("input ends inside a list")
		}
		e := parser{words: strings.Split(s, " ")}
		if e.text() != "M" {
			return d.fail("a list entry starts with M, not %q", clip(s))
		}
		start := e.num()
		sv := policy.Server{HasStartTime: start > 0, StartedAt: duration(start), Weight: e.num(), Zone: e.text()}
		sv.Cell = e.int()
		state, known := states[e.text()]
		e.skip() // the machine's kind
		sv.State, sv.ID = state, e.server()
		if err := e.end(); err != nil {
			return d.fail("M: %v", err)
		}
		if !known {
			return d.fail("M: unknown state")
		}
		list = append(list, sv)
	}
	d.tables[page] = list
	return nil
}

// parser takes the fields of a line one by one and keeps the first error.
type parser struct {
	words []string
	err   error
}

func (p *parser) text() string {
	if len(p.words) == 0 {
		p.note("too few fields")
		return ""
	}
	w := p.words[0]
	p.words = p.words[1:]
	return w
}

func (p *parser) skip() { p.text() }

func (p *parser) note(format string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf(format, args...)
	}
}

func (p *parser) end() error {
	if len(p.words) > 0 {
		p.note("too many fields")
	}
	return p.err
}

func (p *parser) num() float64 {
	w := p.text()
	if w == "-" || p.err != nil {
		return 0
	}
	v, err := strconv.ParseFloat(w, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.note("%q is no number", clip(w))
		return 0
	}
	return v
}

func duration(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

func (p *parser) ms() time.Duration { return duration(p.num()) }

func (p *parser) int() int { return int(p.num()) }

func (p *parser) uint(bits int) uint64 {
	w := p.text()
	v, err := strconv.ParseUint(w, 10, bits)
	if err != nil {
		p.note("%q is no whole number", clip(w))
	}
	return v
}

func (p *parser) server() policy.ServerID { return policy.ServerID(p.uint(32)) }

func (p *parser) id() policy.RequestID {
	w := p.text()
	v, err := strconv.ParseUint(w, 16, 64)
	if err != nil || len(w) != 16 {
		p.note("%q is no request id", clip(w))
	}
	return policy.RequestID(v)
}

func (p *parser) bool() bool { return p.text() == "1" }

func (p *parser) code() policy.ResultCode {
	w := p.text()
	c, known := codes[w]
	if !known {
		p.note("unknown ending %q", clip(w))
	}
	return c
}

func (p *parser) row() []float64 {
	w := p.text()
	if w == "-" || w == "" {
		return nil
	}
	row := parser{words: strings.Split(w, ",")}
	var out []float64
	for len(row.words) > 0 {
		out = append(out, row.num())
	}
	if row.err != nil {
		p.note("%v", row.err)
	}
	return out
}

func (p *parser) bytes() []byte {
	w := p.text()
	if w == "-" {
		return nil
	}
	b, err := base64.StdEncoding.DecodeString(w)
	if err != nil {
		p.note("bad base64")
	}
	return b
}

func clip(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}
