// Package http1 serves clients over HTTP/1.1 (RFC 9112).
package http1

import (
	"context"
	"log/slog"
	"math"
	"net"
	"sync/atomic"
	"time"

	"yardcleat.example/yardcleat/front/connlimit"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/memory"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy/connections"
)

// Handler handles requests; a *node.Node implements it. The caller of Submit calls
// disconnected if the client disconnects before the reply.
type Handler interface {
	Submit(request *node.Request, reply func(node.FinalResponse)) (disconnected func())
}

// Mapper maps HTTP requests to requests of the node, and final responses to HTTP responses;
// an *intake.Mapper implements it. If Admit returns a final response, the request is answered with it.
type Mapper interface {
	Admit(call node.HTTPRequest, trace string) (*node.Request, *node.FinalResponse)
	Render(request *node.Request, final node.FinalResponse) *node.Response
}

// Options configures a Server.
type Options struct {
	Node        Handler
	Mapper      Mapper
	Log         *slog.Logger
	TracePrefix string // begins the trace IDs of requests that carry none
	Limits      http1.Limits

	FirstRequestTimeout time.Duration // from accepting a connection to its first complete request; 0: only the timeouts of every request apply
	HeaderTimeout       time.Duration // from a request's first byte to the end of its header
	BodyTimeout         time.Duration // from the end of a request's header to the end of its body
	IdleTimeout         time.Duration // after which a connection without a request is closed
	WriteTimeout        time.Duration // for a client to receive a response

	Connections *connlimit.Limiter // keeps them within their limits; another server may share it

	Memory             *memory.Budget // for requests and their responses; nil: no limit
	FreeBytesOfRequest int64          // that are not charged to Memory
}

// Server serves connections.
type Server struct {
	options      Options
	connections  *connlimit.Limiter
	traceCounter atomic.Uint64
}

// New returns a Server.
func New(o Options) *Server {
	if o.Memory == nil {
		o.FreeBytesOfRequest = math.MaxInt64
	}
	return &Server{options: o, connections: o.Connections}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	return s.connections.Serve(l, func(nc net.Conn) {
		c := s.newConn(nc)
		c.entry = s.connections.Accept(c)
		go c.serve()
	})
}

// ServeConn serves one connection until it is closed.
func (s *Server) ServeConn(nc net.Conn) {
	c := s.newConn(nc)
	c.entry = s.connections.Accept(c)
	c.serve()
}

// ServeAccepted serves a connection that the limiter knows already, until it is closed.
func (s *Server) ServeAccepted(nc net.Conn, entry *connections.Connection) {
	c := s.newConn(nc)
	c.entry = entry
	s.connections.SetOwner(entry, c)
	c.serve()
}

func (s *Server) newConn(nc net.Conn) *conn {
	c := &conn{server: s, netConn: nc, finalResponses: make(chan node.FinalResponse, 1)}
	c.reader = http1.NewReader(requestReader{c}, s.options.Limits)
	c.memory = connMemory{freeBytes: s.options.FreeBytesOfRequest, sentAhead: s.options.Memory.NewAccount(0, nil)}
	c.reader.LimitMemory(&c.memory)
	return c
}

// StartDraining closes idle connections at once, and the others after the response in flight.
// New connections are still accepted, for one request each.
func (s *Server) StartDraining() { s.connections.Advance(connections.Draining) }

// CloseListener closes the listener at once. Serve returns.
func (s *Server) CloseListener(l net.Listener) error { return s.connections.CloseListener(l) }

// StopServing closes the listener once the connections that have reached it are accepted, or when the context ends. Serve
// returns.
func (s *Server) StopServing(ctx context.Context, l net.Listener) error {
	return s.connections.StopServing(ctx, l)
}

// StopAccepting does what StartDraining does, and ends connections that have brought no request.
func (s *Server) StopAccepting() { s.connections.Advance(connections.Stopped) }

// RejectPartialRequests does what StopAccepting does, and rejects requests that are still
// being read.
func (s *Server) RejectPartialRequests() { s.connections.Advance(connections.Aborting) }

// Drain does what StopAccepting does, and returns when all connections are closed. When the
// context ends it closes them at once.
func (s *Server) Drain(ctx context.Context) { s.connections.Drain(ctx) }
