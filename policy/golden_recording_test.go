package policy_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"yardcleat.example/yardcleat/policy"
)

const (
	actionsPerBlock   = 1000 // number of actions after which the digest so far is recorded
	blockDigestLength = 16   // number of its hexadecimal digits that are recorded
)

// recording encodes the events and actions of a run as text, one line each, and retains only digests
// and counts of it. Each field is encoded explicitly, and kinds and codes as letters that are fixed
// here, so that no line depends on the name or the value of an identifier of package policy.
type recording struct {
	t          *testing.T
	digest     hash.Hash
	line       []byte
	blocks     []string
	actions    int
	events     int
	counts     [len(actionKinds)]int
	file       *os.File // receives the text; nil unless -decisions-dir is set
	textWriter *bufio.Writer
}

// actionKinds are the names of the kinds of action in the golden file. A kind's number is its index here.
var actionKinds = [...]string{"sends", "cancels", "refusals", "failures", "timers", "messages", "watches", "logs"}

func newRecording(t *testing.T, name string) *recording {
	t.Helper()
	r := &recording{t: t, digest: sha256.New()}
	if *decisionsDir != "" {
		file, err := os.Create(filepath.Join(*decisionsDir, name+".txt"))
		if err != nil {
			t.Fatal(err)
		}
		r.file, r.textWriter = file, bufio.NewWriter(file)
	}
	return r
}

// close flushes and closes the text file, if there is one.
func (r *recording) close() {
	if r.file == nil {
		return
	}
	if err := r.textWriter.Flush(); err != nil {
		r.t.Error(err)
	}
	if err := r.file.Close(); err != nil {
		r.t.Error(err)
	}
}

// summary returns the lines for the golden file: the blocks in order, the counts, the digest of the whole run.
func (r *recording) summary() []string {
	lines := append([]string{}, r.blocks...)
	lines = append(lines, fmt.Sprintf("events %d", r.events))
	for kind, count := range r.counts {
		lines = append(lines, fmt.Sprintf("%s %d", actionKinds[kind], count))
	}
	return append(lines, "digest "+hex.EncodeToString(r.digest.Sum(nil)))
}

// event records an event that the gateway with the given number handles.
func (r *recording) event(now time.Duration, number int, event policy.Event) {
	r.events++
	r.begin('e').duration(now).integer(number)
	switch e := event.(type) {
	case policy.Request:
		r.letter('q').unsigned(uint64(e.ID)).quote(e.Customer).quote(e.Plan).quote(e.Class).float(e.Units).
			duration(e.Remaining).integer(e.FirstGateway).integer(e.GatewaySpread).boolean(e.ClientRetry)
	case policy.ResponseStarted:
		r.letter('s').unsigned(uint64(e.ID)).integer(e.Attempt).unsigned(uint64(e.Server))
	case policy.AttemptResult:
		r.letter('o').unsigned(uint64(e.ID)).integer(e.Attempt).unsigned(uint64(e.Server)).letter(resultCodeLetter(e.Code)).
			duration(e.Latency).boolean(e.Answered).float(e.ActualUnits).floats(e.LoadMetrics)
	case policy.ClientDisconnected:
		r.letter('g').unsigned(uint64(e.ID))
	case policy.TimerFired:
		r.letter('t').quote(e.Token)
	case policy.PeerMessage:
		r.letter('p').integer(e.From).hex(e.Data)
	case policy.EndpointUpdate:
		r.letter('m').letter(updateKindLetter(e.Kind)).servers(e.Servers)
	case policy.UsageLevel:
		r.letter('l').quote(e.Customer).float(e.Units)
	case policy.RestoreSnapshot:
		r.letter('r').duration(e.Age).snapshots(e.Customers)
	case policy.FleetResized:
		r.letter('f').integer(e.Gateways).integer(e.PreviousSize)
	default:
		r.t.Fatalf("no encoding of event %T", event)
	}
	r.end()
}

// action records an action that follows from the last event, and the digest after each block of actions.
func (r *recording) action(action policy.Action) {
	kind := 0
	r.begin('a')
	switch a := action.(type) {
	case policy.StartAttempt:
		kind = 0
		r.letter('S').unsigned(uint64(a.ID)).unsigned(uint64(a.Server)).duration(a.Timeout)
	case policy.CancelAttempt:
		kind = 1
		r.letter('C').unsigned(uint64(a.ID)).integer(a.Attempt)
	case policy.Reject:
		kind = 2
		r.letter('R').unsigned(uint64(a.ID)).duration(a.RetryAfter).letter(reasonLetter(a.Reason))
	case policy.Fail:
		kind = 3
		r.letter('F').unsigned(uint64(a.ID)).letter(reasonLetter(a.Reason))
	case policy.SetTimer:
		kind = 4
		r.letter('T').quote(a.Token).duration(a.After)
	case policy.SendPeerMessage:
		kind = 5
		r.letter('M').integer(a.To).hex(a.Data)
	case policy.WatchEndpoints:
		kind = 6
		r.letter('W')
	case policy.Log:
		kind = 7
		r.letter('L').quote(a.Text)
	default:
		r.t.Fatalf("no encoding of action %T", action)
	}
	r.end()
	r.counts[kind]++
	r.actions++
	if r.actions%actionsPerBlock == 0 {
		sum := hex.EncodeToString(r.digest.Sum(nil))[:blockDigestLength]
		r.blocks = append(r.blocks, fmt.Sprintf("block %d %s", r.actions, sum))
	}
}

// snapshotPage records one page of the snapshot that a gateway saves before a restart.
func (r *recording) snapshotPage(now time.Duration, number int, page []policy.CustomerSnapshot, next int) {
	r.begin('k').duration(now).integer(number).integer(next).snapshots(page).end()
}

func (r *recording) begin(letter byte) *recording {
	r.line = append(r.line[:0], letter)
	return r
}

func (r *recording) end() {
	r.line = append(r.line, '\n')
	r.digest.Write(r.line)
	if r.textWriter == nil {
		return
	}
	if _, err := r.textWriter.Write(r.line); err != nil {
		r.t.Fatal(err)
	}
}

func (r *recording) letter(letter byte) *recording {
	r.line = append(r.line, ' ', letter)
	return r
}

func (r *recording) unsigned(value uint64) *recording {
	r.line = strconv.AppendUint(append(r.line, ' '), value, 10)
	return r
}

func (r *recording) integer(value int) *recording {
	r.line = strconv.AppendInt(append(r.line, ' '), int64(value), 10)
	return r
}

// duration encodes a duration in nanoseconds.
func (r *recording) duration(value time.Duration) *recording {
	r.line = strconv.AppendInt(append(r.line, ' '), value.Nanoseconds(), 10)
	return r
}

// float encodes the bits of the value, so that nothing depends on rounding or on a text format.
func (r *recording) float(value float64) *recording {
	r.line = strconv.AppendUint(append(r.line, ' '), math.Float64bits(value), 16)
	return r
}

func (r *recording) floats(values []float64) *recording {
	r.integer(len(values))
	for _, value := range values {
		r.float(value)
	}
	return r
}

func (r *recording) boolean(value bool) *recording {
	if value {
		return r.letter('1')
	}
	return r.letter('0')
}

func (r *recording) quote(value string) *recording {
	r.line = strconv.AppendQuoteToASCII(append(r.line, ' '), value)
	return r
}

func (r *recording) hex(value []byte) {
	r.line = hex.AppendEncode(append(r.line, ' ', 'x'), value)
}

func (r *recording) servers(servers []policy.Server) *recording {
	r.integer(len(servers))
	for _, s := range servers {
		r.unsigned(uint64(s.ID)).quote(s.Zone).integer(s.Cell).letter(serverStateLetter(s.State)).
			boolean(s.HasStartTime).duration(s.StartedAt).float(s.Weight)
	}
	return r
}

func (r *recording) snapshots(snapshots []policy.CustomerSnapshot) *recording {
	r.integer(len(snapshots))
	for _, snapshot := range snapshots {
		r.unsigned(snapshot.Key).quote(snapshot.Plan).integer(snapshot.FirstGateway).integer(snapshot.GatewaySpread).float(snapshot.Tokens)
	}
	return r
}

func resultCodeLetter(code policy.ResultCode) byte {
	switch code {
	case policy.OK:
		return 'o'
	case policy.Error:
		return 'e'
	case policy.Rejected:
		return 'f'
	case policy.TimedOut:
		return 't'
	case policy.ConnectFailed:
		return 'n'
	case policy.Reset:
		return 'r'
	case policy.Cancelled:
		return 'c'
	case policy.TooLate:
		return 'm'
	}
	return '?'
}

func reasonLetter(reason policy.Reason) byte {
	switch reason {
	case policy.ReasonNone:
		return '-'
	case policy.ReasonQuotaExceeded:
		return 'q'
	case policy.ReasonInFlightLimit:
		return 'c'
	case policy.ReasonCeilingExceeded:
		return 'h'
	case policy.ReasonLoadShed:
		return 's'
	case policy.ReasonNoServer:
		return 'n'
	case policy.ReasonNoTime:
		return 't'
	case policy.ReasonNoQuotaLeader:
		return 'l'
	case policy.ReasonAttemptsExhausted:
		return 'a'
	}
	return '?'
}

func updateKindLetter(kind policy.EndpointUpdateKind) byte {
	switch kind {
	case policy.DeltaUpdate:
		return 'c'
	case policy.SnapshotUpdate:
		return 'w'
	case policy.CachedUpdate:
		return 'r'
	case policy.WatchFailed:
		return 'f'
	}
	return '?'
}

func serverStateLetter(state policy.ServerState) byte {
	switch state {
	case policy.Running:
		return 'r'
	case policy.Draining:
		return 'd'
	case policy.Removed:
		return 'x'
	}
	return '?'
}
