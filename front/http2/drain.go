package http2

import (
	"context"
	"io"
	"net"
	"time"

	"golang.org/x/net/http2"

	"yardcleat.example/yardcleat/policy/connections"
)

// When the server ends a connection, requests may still be on their way to it. Closing a connection with unread
// bytes would reset it, and the client could lose the GOAWAY that tells which of its requests did not run. The server
// therefore closes only its sending side, and reads and discards until the client closes too, within these bounds.
const (
	lingerTimeout  = 500 * time.Millisecond // far above a round trip
	maxLingerBytes = 1 << 20
)

// drainPrefaceTimeout is how long a draining connection waits for the client preface before it sends GOAWAY.
const drainPrefaceTimeout = 200 * time.Millisecond

// goAwayText is the debug data of the GOAWAY of a connection that ends because the server shuts down, or for another.
const goAwayText = "closing"

// longAgo is the deadline that ends what a connection waits for.
var longAgo = time.Unix(1, 0)

// CloseListener closes the listener at once. Serve returns.
func (s *Server) CloseListener(l net.Listener) error { return s.connections.CloseListener(l) }

// StopServing closes the listener once the connections that have reached it are accepted, or when the context ends. Serve
// returns.
func (s *Server) StopServing(ctx context.Context, l net.Listener) error {
	return s.connections.StopServing(ctx, l)
}

// Drain sends GOAWAY on all connections, and waits until the streams accepted before have ended. When the context ends
// it closes the connections.
func (s *Server) Drain(ctx context.Context) { s.connections.Drain(ctx) }

// sendGoAway sends GOAWAY with the ID of the last accepted stream, unless that was done before. Before the
// server's SETTINGS are sent it leaves that to handshake, which waits for the client preface for prefaceTimeout at most.
// If the code is ErrCodeNo the connection ends once it has no streams.
func (c *conn) sendGoAway(code http2.ErrCode, debugData string, prefaceTimeout time.Duration) {
	c.mu.Lock()
	first := !c.goingAway
	c.goingAway, c.ended = true, c.ended || code != http2.ErrCodeNo
	settingsSent := c.settingsSent
	if !settingsSent {
		c.netConn.SetReadDeadline(time.Now().Add(prefaceTimeout))
	}
	c.mu.Unlock()
	if settingsSent && first {
		c.writeGoAway(code, debugData)
	}
}

// writeGoAway writes GOAWAY. The connection is going away already, so that no later stream is accepted.
func (c *conn) writeGoAway(code http2.ErrCode, debugData string) {
	c.mu.Lock()
	last := c.lastStreamID
	c.mu.Unlock()
	c.write(func() error { return c.framer.WriteGoAway(last, code, []byte(debugData)) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.goAwaySent = true
	c.endIfDrainedLocked()
}

// endIfDrainedLocked has serve end the connection if the client has been sent GOAWAY and no stream is left. c.mu
// must be held.
func (c *conn) endIfDrainedLocked() {
	if c.goAwaySent && !c.ended && len(c.streams) == 0 {
		c.lingering = true
		c.netConn.SetReadDeadline(longAgo) // interrupts serve
	}
}

// setReadDeadlineLocked sets the deadline for the next frame, unless the connection has drained. c.mu must be held.
func (c *conn) setReadDeadlineLocked(deadline time.Time) {
	if !c.lingering {
		c.netConn.SetReadDeadline(deadline)
	}
}

// linger closes the sending direction and discards what the client sends for a while.
func (c *conn) linger() {
	c.server.connections.Linger(c.entry)
	c.server.connections.Arm(c.entry, func(action connections.Action) {
		deadline := time.Now().Add(lingerTimeout)
		if action == connections.Close {
			deadline = longAgo
		}
		_ = c.netConn.SetReadDeadline(deadline)
	})
	if w, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, c.netConn, maxLingerBytes) // ends when the client closes, or with the time
}
