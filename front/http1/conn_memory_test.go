package http1

import (
	"net"
	"testing"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/policy/connections"
)

// deadlineConn records whether deadlines were set.
type deadlineConn struct {
	net.Conn
	read, write bool
}

func (c *deadlineConn) SetReadDeadline(time.Time) error  { c.read = true; return nil }
func (c *deadlineConn) SetWriteDeadline(time.Time) error { c.write = true; return nil }
func (c *deadlineConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// A connection whose memory is reclaimed ends what it waits for. One that is closing already must not be cut off: its
// client could lose the response before reading it.
func TestReclaimEndsWhatTheConnectionWaitsFor(t *testing.T) {
	for state, want := range map[connections.State]deadlineConn{
		connections.Reading:   {read: true},
		connections.InFlight:  {write: true},
		connections.Lingering: {},
	} {
		nc := &deadlineConn{}
		s := New(Options{Connections: limiter(10)})
		c := &conn{server: s, netConn: nc}
		c.entry = s.connections.Accept(c)
		switch state {
		case connections.Reading:
			s.connections.BeginReading(c.entry)
		case connections.InFlight:
			s.connections.Complete(c.entry)
		default:
			s.connections.Linger(c.entry)
		}
		c.Reclaim()
		action, reason := s.connections.Action(c.entry)
		if wantAction := want != (deadlineConn{}); nc.read != want.read || nc.write != want.write || wantAction != (action != connections.None && reason == connections.Memory) {
			t.Errorf("state %v: %+v, %v for %v, want %+v", state, *nc, action, reason, want)
		}
	}
}

// endlessConn is a connection whose client sends without end. It counts the bytes that are read.
type endlessConn struct {
	deadlineConn
	bytes int
}

func (c *endlessConn) Read(b []byte) (int, error) { c.bytes += len(b); return len(b), nil }

// Guards against a connection with requests sent ahead that is closed too early for its client to read the last
// response: what was read ahead does not count towards what is read and discarded before the close.
func TestLingeringReadsBehindWhatWasSentAhead(t *testing.T) {
	nc := &endlessConn{}
	c := &conn{server: New(Options{Connections: limiter(10)}), netConn: nc, reader: http1.NewReader(nc, http1.Limits{})}
	c.entry = c.server.connections.Accept(c)
	if err := c.reader.Await(); err != nil {
		t.Fatal(err)
	}
	ahead := nc.bytes
	c.linger()
	if n := nc.bytes - ahead; ahead == 0 || n < maxLingerBytes {
		t.Errorf("%d bytes were discarded behind %d that were read ahead, want %d", n, ahead, maxLingerBytes)
	}
}
