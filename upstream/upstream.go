// Package upstream sends attempts to servers over pooled HTTP/1.1 or HTTP/2 connections, and
// decides which ends of an attempt prove that its request was not executed.
package upstream

import (
	"slices"
	"sync"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
)

// Options configures a Pool.
type Options struct {
	Network          network.Network
	Limits           http1.Limits  // of responses
	ConnectTimeout   time.Duration // to connect to a server
	MaxIdlePerServer int           // idle HTTP/1.1 connections kept to each server
	IdleTimeout      time.Duration // HTTP/1.1 connections idle for longer are closed instead of reused; 0: no limit
	// MaxConnections limits the number of HTTP/1.1 connections, to all servers together. 0: no limit.
	MaxConnections  int
	TimeoutHeader   string // HTTP/1.1 request header that states the remaining time of an attempt in ms; "": none
	RejectionSignal RejectionSignal
	HTTP2           bool // use HTTP/2 with prior knowledge
	// PausedSince reports whether the process was paused after a time. nil: it never is. An
	// attempt that was decided before a pause is not sent after it.
	PausedSince func(since time.Time) bool
}

// Pool keeps connections to servers and makes attempts on them. It implements [node.Upstream].
type Pool struct {
	options         Options
	mu              sync.Mutex
	idle            map[string][]*conn // by server, in the order of last use; the most recent is reused first
	openConnections int                // over HTTP/1.1, including those being dialed
	sweptAt         time.Time          // time of the last check for connections idle too long
	idleLimit       idleLimitEstimator
	createdAt       time.Time            // time 0 of idleLimit
	h2Conns         map[string][]*h2Conn // by address
	closed          bool
	readers         sync.WaitGroup // goroutines that read from connections
}

// New returns an empty Pool.
func New(o Options) *Pool {
	return &Pool{options: o, idle: map[string][]*conn{}, h2Conns: map[string][]*h2Conn{}, createdAt: time.Now()}
}

// takeIdle removes an idle connection to a server from the pool and returns it, or nil. It takes
// the most recently used one that has been idle for minIdleBeforeReuse. Connections that have been
// idle for too long, or on which the server has sent unsolicited data, are closed instead.
func (p *Pool) takeIdle(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for {
		list := p.idle[key]
		i := len(list) - 1
		for i >= 0 && now.Sub(list[i].lastUsedAt) < minIdleBeforeReuse {
			i--
		}
		if i < 0 {
			return nil
		}
		c := list[i]
		p.idle[key] = slices.Delete(list, i, i+1)
		r, ok := c.netConn.(interface{ Readable() bool })
		if p.idleTooLong(c, now) || ok && r.Readable() {
			c.netConn.Close()
			continue
		}
		c.idleTime = now.Sub(c.lastUsedAt)
		return c
	}
}

// recordUse records whether a connection broke before the response to its latest request began.
func (p *Pool) recordUse(c *conn, broke bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleLimit.record(time.Since(p.createdAt), c.idleTime, broke)
}

// idleTooLong reports whether a connection exceeds the configured or the estimated idle timeout.
func (p *Pool) idleTooLong(c *conn, now time.Time) bool {
	idle := now.Sub(c.lastUsedAt)
	return p.options.IdleTimeout > 0 && idle >= p.options.IdleTimeout || p.idleLimit.limit > 0 && idle >= p.idleLimit.limit
}

// reserveConnection counts a connection that is about to be dialed. At MaxConnections it first
// closes the connection that has been idle longest, and returns false if none is idle.
func (p *Pool) reserveConnection() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.options.MaxConnections > 0 && p.openConnections >= p.options.MaxConnections {
		oldest := ""
		for key, list := range p.idle {
			if len(list) > 0 && (oldest == "" || list[0].lastUsedAt.Before(p.idle[oldest][0].lastUsedAt)) {
				oldest = key
			}
		}
		if oldest == "" {
			return false
		}
		p.idle[oldest][0].netConn.Close()
		p.idle[oldest] = p.idle[oldest][1:]
	}
	p.openConnections++
	return true
}

// releaseConnection undoes reserveConnection after dialing has failed.
func (p *Pool) releaseConnection() {
	p.mu.Lock()
	p.openConnections--
	p.mu.Unlock()
}

// putIdle returns a connection to the pool, or closes it if the pool has enough. Once per second
// it also closes the connections that have been idle for too long.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if c.lastUsedAt = now; now.Sub(p.sweptAt) >= time.Second {
		p.sweptAt = now
		for key, list := range p.idle {
			n := 0
			for n < len(list) && p.idleTooLong(list[n], now) {
				list[n].netConn.Close()
				n++
			}
			p.idle[key] = list[n:]
		}
	}
	if p.closed || len(p.idle[c.key]) >= p.options.MaxIdlePerServer {
		c.netConn.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// CloseIdle closes the idle connections to a server, for example after it was removed from the
// endpoint list. key is its connection key.
func (p *Pool) CloseIdle(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[key] {
		c.netConn.Close()
	}
	delete(p.idle, key)
}

// remove removes a connection that has ended.
func (p *Pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConnections--
	list := p.idle[c.key]
	for i := range list {
		if list[i] == c {
			p.idle[c.key] = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(p.idle[c.key]) == 0 {
		delete(p.idle, c.key)
	}
}

// Close closes the idle HTTP/1.1 connections and all HTTP/2 connections, and waits until every
// connection has ended.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for _, list := range p.h2Conns {
		for _, c := range list {
			c.netConn.Close()
		}
	}
	for _, list := range p.idle {
		for _, c := range list {
			c.netConn.Close()
		}
	}
	p.mu.Unlock()
	p.readers.Wait()
}
