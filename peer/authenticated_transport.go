package peer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"yardcleat.example/yardcleat/internal/network"
)

// Options is what a Mail is made of.
type Options struct {
	Network     network.Network
	Listen      string
	Addresses   map[int]string // of the others, by number
	SelfIndex   int
	Keys        *Keyring
	Incarnation uint64
	Freshness   time.Duration
	Rate        float64 // messages a second taken in
	Log         *slog.Logger
	WallClock   func() time.Time // the wall clock; nil: the system's
	Deliver     func(from int, data []byte)

	// Restarted is called before Deliver with the first message of a process that acts under
	// another gateway's number. It may be nil.
	Restarted func(from int)
}

// AuthenticatedTransport sends and takes messages.
type AuthenticatedTransport struct {
	options    Options
	socket     net.PacketConn
	mu         sync.Mutex
	addresses  map[int]net.Addr
	nodes      int // above the highest number ever reached
	queue      chan outgoingMessage
	done       chan struct{}
	goroutines sync.WaitGroup
}

type outgoingMessage struct {
	to      int
	payload []byte
}

const maxQueuedMessages = 4096 // letters waiting to be sent; more are lost

// Listen starts a Mail.
func Listen(o Options) (*AuthenticatedTransport, error) {
	m := &AuthenticatedTransport{options: o, addresses: map[int]net.Addr{}, queue: make(chan outgoingMessage, maxQueuedMessages), done: make(chan struct{})}
	for n, addr := range o.Addresses {
		a, err := network.Addr(o.Network, addr)
		if err != nil {
			return nil, fmt.Errorf("peer %d: %w", n, err)
		}
		m.addresses[n] = a
	}
	pc, err := o.Network.ListenPacket(o.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	m.socket = pc
	if m.options.WallClock == nil {
		m.options.WallClock = time.Now
	}
	m.goroutines.Go(m.send)
	m.goroutines.Go(m.receive)
	return m, nil
}

// SetAddress sets where a number is reached from now on; "": nowhere.
func (m *AuthenticatedTransport) SetAddress(number int, address string) {
	var a net.Addr
	if address != "" {
		var err error
		if a, err = network.Addr(m.options.Network, address); err != nil {
			m.options.Log.Error("a peer's address can't be used", "number", number, "address", address, "error", err)
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if a == nil {
		delete(m.addresses, number)
		return
	}
	m.addresses[number], m.nodes = a, max(m.nodes, number+1)
}

// Send sends a message, or loses it; it does not block.
func (m *AuthenticatedTransport) Send(to int, data []byte) {
	select {
	case m.queue <- outgoingMessage{to, data}:
	default:
	}
}

// Close ends the Mail.
func (m *AuthenticatedTransport) Close() {
	close(m.done)
	m.socket.Close()
	m.goroutines.Wait()
}

func (m *AuthenticatedTransport) send() {
	var seq uint64
	for {
		select {
		case l := <-m.queue:
			m.mu.Lock()
			addr := m.addresses[l.to]
			m.mu.Unlock()
			if addr != nil && len(l.payload) <= MaxPayload {
				seq++
				m.socket.WriteTo(Seal(m.options.Keys.Keys()[0], Header{From: uint16(m.options.SelfIndex), To: uint16(l.to), Incarnation: m.options.Incarnation,
					Seq: seq, Sent: m.options.WallClock()}, l.payload), addr)
			}
		case <-m.done:
			return
		}
	}
}

// knownProcesses has the process that last acted under each number, by its incarnation.
type knownProcesses map[uint16]uint64

// isNew reports whether a message is the first that was accepted of its process.
func (k knownProcesses) isNew(h Header) bool {
	if k[h.From] == h.Incarnation {
		return false
	}
	k[h.From] = h.Incarnation
	return true
}

func (m *AuthenticatedTransport) receive() {
	g := NewPacketFilter(m.options.SelfIndex, len(m.options.Addresses)+1, m.options.Incarnation, m.options.Freshness, m.options.Rate)
	processes := knownProcesses{}
	var told [packetStatusCount]time.Time
	b := make([]byte, headerSize+MaxPayload+macSize+1)
	for {
		n, from, err := m.socket.ReadFrom(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // ICMP errors of earlier sends, on some systems
		}
		h, payload, ok := m.options.Keys.open(b[:n])
		now, word := m.options.WallClock(), Misaddressed
		if ok {
			m.mu.Lock()
			g.Grow(m.nodes)
			m.mu.Unlock()
			word = g.Check(now, h)
		}
		if word == Accepted {
			if processes.isNew(h) && m.options.Restarted != nil {
				m.options.Restarted(int(h.From))
			}
			m.options.Deliver(int(h.From), append([]byte(nil), payload...))
			continue
		}
		const every = time.Second // lines of one kind
		if now.Sub(told[word]) < every {
			continue
		}
		told[word] = now
		level := slog.LevelDebug
		if word == DuplicateNumber || word == DuplicateOwnNumber {
			level = slog.LevelError
		}
		m.options.Log.Log(context.Background(), level, "message dropped: "+word.String(), "number", h.From, "from", from.String())
	}
}

// Incarnation draws the number of a process: its start in nanoseconds of Unix
// time, and above the last one remembered in a directory; "" remembers nothing.
// The number is good also where remembering failed, as the error then says.
func Incarnation(dir string, now time.Time) (uint64, error) {
	inc := uint64(now.UnixNano())
	if dir == "" {
		return inc, nil
	}
	path := filepath.Join(dir, "incarnation")
	b, err := os.ReadFile(path)
	var torn error
	switch last, perr := strconv.ParseUint(strings.TrimSpace(string(b)), 10, 64); {
	case err == nil && perr == nil:
		inc = max(inc, last+1)
	case err == nil:
		torn = fmt.Errorf("peer: %s is torn or foreign; the clock alone gives the incarnation", path)
	case !errors.Is(err, fs.ErrNotExist):
		return inc, err
	}
	tmp := path + ".new"
	if err := os.WriteFile(tmp, []byte(strconv.FormatUint(inc, 10)+"\n"), 0o600); err != nil {
		return inc, err
	}
	return inc, cmp.Or(torn, os.Rename(tmp, path))
}
