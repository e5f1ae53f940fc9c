package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/front/connlimit"
	"yardcleat.example/yardcleat/front/extauthz"
	fronthttp "yardcleat.example/yardcleat/front/http1"
	fronthttp2 "yardcleat.example/yardcleat/front/http2"
	"yardcleat.example/yardcleat/intake"
	"yardcleat.example/yardcleat/policy/connections"
)

const (
	// maxBufferedBodies is the number of request bodies of the maximum size that one HTTP/2 connection
	// may keep in memory.
	maxBufferedBodies = 4
	// minBufferedBodyBytes is used in place of the configured maximum size if that is smaller.
	minBufferedBodyBytes = 64 << 10
	// seedBits is the number of bits of the seed in a trace ID. They distinguish the trace IDs of
	// different processes.
	seedBits = 24
)

// ListenerError reports that a configured listener can't be opened.
type ListenerError struct {
	Name string // of the listener in the configuration
	Err  error
}

func (e *ListenerError) Error() string { return fmt.Sprintf("listener %q: %v", e.Name, e.Err) }

// Unwrap returns the cause.
func (e *ListenerError) Unwrap() error { return e.Err }

// frontend serves the connections of a listener.
type frontend interface {
	// Serve accepts connections until the listener is closed, and then returns nil.
	Serve(net.Listener) error
	// CloseListener closes the listener at once, so that Serve returns.
	CloseListener(net.Listener) error
	// StopServing closes the listener, at the latest when the context ends, so that Serve returns.
	StopServing(context.Context, net.Listener) error
	// Drain returns when all connections are closed, at the latest when the context ends.
	Drain(context.Context)
}

// listener is an open listener and its frontend.
type listener struct {
	net      net.Listener
	frontend frontend
}

// startListeners opens the configured listeners and serves them.
func (g *Gateway) startListeners(mapper *intake.Mapper) error {
	for _, l := range g.cfg.Listeners {
		if err := g.listen(l, mapper); err != nil {
			return &ListenerError{Name: l.Name, Err: err}
		}
	}
	return nil
}

func (g *Gateway) listen(l config.Listener, mapper *intake.Mapper) error {
	netListener, err := g.options.Network.Listen(l.Address)
	if err != nil {
		return err
	}
	log := g.options.Log.With("listener", l.Name)
	log.Info("listening", "kind", string(l.Kind), "address", netListener.Addr().String())
	server, err := g.newFrontend(l, mapper, log)
	if err != nil {
		return errors.Join(err, netListener.Close())
	}
	g.listeners = append(g.listeners, listener{netListener, server})
	g.serving.Go(func() {
		if err := server.Serve(netListener); err != nil {
			log.Error("listener failed", "error", err)
		}
	})
	return nil
}

func (g *Gateway) newFrontend(l config.Listener, mapper *intake.Mapper, log *slog.Logger) (frontend, error) {
	switch l.Kind {
	case config.ExtAuthz:
		return extauthz.New(extauthz.Options{
			Node:            g.node,
			Mapper:          mapper,
			Log:             log,
			TracePrefix:     g.tracePrefix(l),
			RejectionSignal: g.rejectionSignal(),
		}), nil
	case config.HTTP2:
		return g.newHTTP2Server(l, mapper, g.newLimiter(log), log), nil
	case config.HTTPS:
		limiter := g.newLimiter(log)
		return newTLSListener(l, limiter, g.newHTTP1Server(l, mapper, limiter, log), g.newHTTP2Server(l, mapper, limiter, log), log)
	default:
		return g.newHTTP1Server(l, mapper, g.newLimiter(log), log), nil
	}
}

// minIdleTime is how long a client's connection is normally kept while it is idle, if there are too many.
const minIdleTime = 2 * time.Second

// turnoverDivisor: a 32nd of the connections may be closing, and as many are left to requests that are rejected because
// all others have one in flight.
const turnoverDivisor = 32

// newLimiter returns a limiter for the connections of a listener.
func (g *Gateway) newLimiter(log *slog.Logger) *connlimit.Limiter {
	maxOpen := g.cfg.Limits.MaxConnections
	maxActive := max(1, maxOpen-maxOpen/turnoverDivisor)
	return connlimit.New(connections.Limits{
		MaxOpen:     maxOpen,
		MaxActive:   maxActive,
		MaxInFlight: max(1, maxActive-maxOpen/turnoverDivisor),
		MinIdleTime: minIdleTime,
	}, log)
}

func (g *Gateway) newHTTP2Server(l config.Listener, mapper *intake.Mapper, limiter *connlimit.Limiter, log *slog.Logger) *fronthttp2.Server {
	limits := g.cfg.Limits
	return fronthttp2.New(fronthttp2.Options{
		Node:                  g.node,
		Mapper:                mapper,
		Log:                   log,
		TracePrefix:           g.tracePrefix(l) + "h2",
		MaxHeaderBytes:        limits.MaxHeaderBytes,
		MaxHeaderFields:       limits.MaxHeaderFields,
		MaxRequestBody:        limits.MaxRequestBody,
		MaxBufferedBodyBytes:  maxBufferedBodies * max(limits.MaxRequestBody, minBufferedBodyBytes),
		MaxConcurrentStreams:  limits.MaxConcurrentStreams,
		FrameBudget:           limits.FrameBudget,
		HeaderTimeout:         limits.HeaderTimeout,
		BodyTimeout:           limits.BodyTimeout,
		IdleTimeout:           limits.IdleTimeout,
		WriteTimeout:          limits.WriteTimeout,
		Connections:           limiter,
		Memory:                g.memory,
		FreeBytesOfConnection: g.freeBytesOfConnection(),
	})
}

// freeMemoryDivisor: the connections of a listener divide a quarter of the memory for requests evenly and use it without
// being charged, so that short requests always have room.
const freeMemoryDivisor = 4

// freeBytesOfConnection returns the part of the memory for requests that each connection uses without being charged.
func (g *Gateway) freeBytesOfConnection() int64 {
	return g.cfg.Limits.MaxMemory / freeMemoryDivisor / int64(g.cfg.Limits.MaxConnections)
}

func (g *Gateway) newHTTP1Server(l config.Listener, mapper *intake.Mapper, limiter *connlimit.Limiter, log *slog.Logger) *fronthttp.Server {
	limits := g.cfg.Limits
	return fronthttp.New(fronthttp.Options{
		Node:               g.node,
		Mapper:             mapper,
		Log:                log,
		Limits:             g.messageLimits(limits.MaxRequestBody),
		TracePrefix:        g.tracePrefix(l),
		HeaderTimeout:      limits.HeaderTimeout,
		BodyTimeout:        limits.BodyTimeout,
		IdleTimeout:        limits.IdleTimeout,
		WriteTimeout:       limits.WriteTimeout,
		Connections:        limiter,
		Memory:             g.memory,
		FreeBytesOfRequest: g.freeBytesOfConnection(),
	})
}

// tracePrefix returns the prefix of the trace IDs that a listener assigns to requests. It differs
// between processes.
func (g *Gateway) tracePrefix(l config.Listener) string {
	return fmt.Sprintf("%s-%d-%x", l.Name, g.cfg.Number, g.options.Seed&(1<<seedBits-1))
}

// closeListeners closes the listeners at once. A second call does nothing.
func (g *Gateway) closeListeners() {
	for _, l := range g.listeners {
		l.logCloseError(l.frontend.CloseListener(l.net), g.options.Log)
	}
}

// drain stops the listener and ends its connections.
func (l listener) drain(ctx context.Context, log *slog.Logger) {
	l.logCloseError(l.frontend.StopServing(ctx, l.net), log)
	l.frontend.Drain(ctx)
}

// logCloseError logs an error of closing the listener, unless it was closed before.
func (l listener) logCloseError(err error, log *slog.Logger) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		log.Warn("closing a listener failed", "address", l.net.Addr().String(), "error", err)
	}
}
