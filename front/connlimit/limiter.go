// Package connlimit keeps the connections of a listener within their limits. It carries out what package
// policy/connections decides, and tells in the log and in its counters which connections were ended, and why.
package connlimit

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"yardcleat.example/yardcleat/internal/pauseclock"
	"yardcleat.example/yardcleat/policy/connections"
)

// Owner serves a connection.
type Owner interface {
	connections.Owner

	// Interrupt ends what the connection waits for, because it is to end. It is called with the limiter's lock held:
	// it must not block, nor call the limiter.
	Interrupt(connections.Action)

	// Close closes the connection at once. It is called with the limiter's lock held.
	Close()

	// RemoteAddr returns the client's address.
	RemoteAddr() net.Addr
}

// Limiter keeps the connections of a listener within limits. Its methods may be called from any goroutine.
type Limiter struct {
	log     *slog.Logger
	mu      sync.Mutex // guards the fields below
	changed *sync.Cond // a connection has changed, or accepting has ended
	table   *connections.Table
	ended   bool // no connections are accepted any more
	report  report

	accepted int // connections that Serve has accepted
}

// New returns a limiter without connections.
func New(limits connections.Limits, log *slog.Logger) *Limiter {
	l := &Limiter{log: log, table: connections.NewTable(limits), report: newReport()}
	l.changed = sync.NewCond(&l.mu)
	return l
}

const (
	// acceptRetryDelay is the time until accepting is tried again after an error.
	acceptRetryDelay = 10 * time.Millisecond

	// recheckInterval is the time after which it is looked again for a connection that can make room, if nothing else
	// happens: some can as time passes.
	recheckInterval = 10 * time.Millisecond
)

// Serve accepts connections and calls start for each, which must call Accept and not block. While there is no room for a
// connection it is held unread, and those behind it by the kernel. Serve returns when the listener is closed, or after
// StopServing. Other errors, such as a lack of file descriptors, are temporary: they are logged, and accepting goes on.
func (l *Limiter) Serve(listener net.Listener, start func(net.Conn)) error {
	for !l.hasEnded() {
		nc, err := listener.Accept()
		switch {
		case err == nil:
			l.awaitRoom(listener, nc)
			start(nc)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			l.handleAcceptError(err)
		}
	}
	return nil
}

// acceptedConnections returns the number of connections that Serve has accepted.
func (l *Limiter) acceptedConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

func (l *Limiter) hasEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// awaitRoom waits until there is room for a connection that was accepted, or until StopServing.
func (l *Limiter) awaitRoom(listener net.Listener, accepted net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted++
	for !l.table.HasRoom() && !l.ended {
		pauseclock.SuspendAccepting(listener)
		pauseclock.SuspendReading(accepted)
		l.carryOut(l.table.MakeRoom(time.Now()))
		l.awaitChange(recheckInterval)
	}
}

// handleAcceptError logs an error of accepting, and frees a descriptor if the process or the system has none left. It
// returns when it is time to try again: a connection is closed, or acceptRetryDelay has passed.
func (l *Limiter) handleAcceptError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.acceptErrors++
	if l.report.mayLog(time.Now()) {
		l.log.Warn("accept failed", "error", err)
	}
	open := l.table.Open()
	for begun := time.Now(); l.table.Open() >= open && time.Since(begun) < acceptRetryDelay && !l.ended; {
		if isShortage(err) {
			l.carryOut(l.table.FreeDescriptor(time.Now()))
		}
		l.awaitChange(acceptRetryDelay)
	}
}

// isShortage reports whether an error says that the process or the system has no descriptor, or no memory for one.
func isShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// awaitChange waits until something has happened to a connection, or for a time. The lock must be held.
func (l *Limiter) awaitChange(timeout time.Duration) {
	timer := time.AfterFunc(timeout, l.changed.Broadcast)
	l.changed.Wait()
	timer.Stop()
}

// The backlog of a listener that is to be closed is looked at with an interval. If its length is not known, it is looked
// at maxBacklogChecks times at most: clients may connect again and again, so that it is never empty.
const (
	backlogInterval  = time.Millisecond
	maxBacklogChecks = 100
)

// StopServing closes a listener, once the connections that have reached it by now are accepted, or when the context ends:
// the kernel resets those that it still holds, and their requests with them.
func (l *Limiter) StopServing(ctx context.Context, listener net.Listener) error {
	waiting, isKnown := pauseclock.BacklogLength(listener)
	last := l.acceptedConnections() + waiting + 1 // one more may be accepted and not counted yet
	for checks := 0; ctx.Err() == nil && pauseclock.HasBacklog(listener); checks++ {
		if isKnown && l.acceptedConnections() >= last || !isKnown && checks == maxBacklogChecks {
			break
		}
		time.Sleep(backlogInterval)
	}
	return l.CloseListener(listener)
}

// CloseListener closes a listener at once. Serve returns, also if there is no room for a connection.
func (l *Limiter) CloseListener(listener net.Listener) error {
	err := listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.changed.Broadcast()
	return err
}

// Accept adds a connection that was accepted.
func (l *Limiter) Accept(owner Owner) *connections.Connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, instructions := l.table.Accept(time.Now(), owner)
	l.carryOut(instructions)
	return c
}

// SetOwner passes a connection to another owner, which is interrupted if the connection is to end.
func (l *Limiter) SetOwner(c *connections.Connection, owner Owner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.SetOwner(c, owner)
	if action, _ := c.Action(); action != connections.None {
		owner.Interrupt(action)
	}
}

// AwaitRequest records that all requests of a connection are answered, or that it waits for its first. The result is
// false if the connection is to end, unless more has arrived on it.
func (l *Limiter) AwaitRequest(c *connections.Connection) (keep bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keep, instructions := l.table.AwaitRequest(c, time.Now())
	l.carryOut(instructions)
	l.changed.Broadcast()
	return keep
}

// BeginReading records that a request has begun to arrive.
func (l *Limiter) BeginReading(c *connections.Connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.BeginReading(c, time.Now())
}

// Complete records that a complete request was read. The result is false if the request is to be rejected.
func (l *Limiter) Complete(c *connections.Connection) (admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if admitted = l.table.Complete(c); !admitted {
		l.report.rejectedRequests++
	}
	return admitted
}

// BeginWriting records that the response to the request in flight is written from now on.
func (l *Limiter) BeginWriting(c *connections.Connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.BeginWriting(c, time.Now())
}

// Linger records that this side sends no more on a connection.
func (l *Limiter) Linger(c *connections.Connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Linger(c, time.Now())
	l.changed.Broadcast()
}

// Remove records that a connection is closed.
func (l *Limiter) Remove(c *connections.Connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Remove(c)
	l.changed.Broadcast()
}

// Reclaim has a connection give up the memory of the request that it reads, or of the response that it writes.
func (l *Limiter) Reclaim(c *connections.Connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.carryOut(l.table.Reclaim(c))
}

// Action returns what is to be done with a connection, and why.
func (l *Limiter) Action(c *connections.Connection) (connections.Action, connections.Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.Action()
}

// Status returns the phase of the shutdown, and what is to be done with a connection.
func (l *Limiter) Status(c *connections.Connection) (connections.Phase, connections.Action) {
	l.mu.Lock()
	defer l.mu.Unlock()
	action, _ := c.Action()
	return l.table.Phase(), action
}

// Arm calls set with what is to be done with a connection. No interruption comes between, so that one is not undone by
// a time limit that set sets.
func (l *Limiter) Arm(c *connections.Connection, set func(connections.Action)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	action, _ := c.Action()
	set(action)
}

// Advance begins a phase of the shutdown.
func (l *Limiter) Advance(phase connections.Phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.carryOut(l.table.Advance(phase))
}

// Phase returns the phase of the shutdown.
func (l *Limiter) Phase() connections.Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Phase()
}

// Drain accepts no new connections, ends those without a request, and returns when all are closed. When the context
// ends it closes them at once.
func (l *Limiter) Drain(ctx context.Context) {
	l.Advance(connections.Stopped)
	stop := context.AfterFunc(ctx, l.closeAll)
	defer stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.table.Open() > 0 {
		l.changed.Wait()
	}
}

func (l *Limiter) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.ForEach(func(c *connections.Connection) { c.Owner().(Owner).Close() })
}

// carryOut interrupts connections, and reports why. The lock must be held.
func (l *Limiter) carryOut(instructions []connections.Instruction) {
	for _, i := range instructions {
		owner := i.Connection.Owner().(Owner)
		l.reportEnd(i, owner)
		owner.Interrupt(i.Action)
	}
}
