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
	Me          int
	Keys        *Keyring
	Incarnation uint64
	Freshness   time.Duration
	Rate        float64 // messages a second taken in
	Log         *slog.Logger
	Wall        func() time.Time // the wall clock; nil: the system's
	Deliver     func(from int, data []byte)

	// Restarted is called before Deliver with the first message of a process that acts under
	// another gateway's number. It may be nil.
	Restarted func(from int)
}

// Mail sends and takes messages.
type Mail struct {
	o     Options
	pc    net.PacketConn
	mu    sync.Mutex
	to    map[int]net.Addr
	most  int // above the highest number ever reached
	out   chan letter
	done  chan struct{}
	ended sync.WaitGroup
}

type letter struct {
	to   int
	data []byte
}

const mostWaiting = 4096 // letters waiting to be sent; more are lost

// Listen starts a Mail.
func Listen(o Options) (*Mail, error) {
	m := &Mail{o: o, to: map[int]net.Addr{}, out: make(chan letter, mostWaiting), done: make(chan struct{})}
	for n, addr := range o.Addresses {
		a, err := network.Resolve(o.Network, addr)
		if err != nil {
			return nil, fmt.Errorf("peer %d: %w", n, err)
		}
		m.to[n] = a
	}
	pc, err := o.Network.ListenPacket(o.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	m.pc = pc
	if m.o.Wall == nil {
		m.o.Wall = time.Now
	}
	m.ended.Go(m.send)
	m.ended.Go(m.receive)
	return m, nil
}

// Reach sets where a number is reached from now on; "": nowhere.
func (m *Mail) Reach(number int, address string) {
	var a net.Addr
	if address != "" {
		var err error
		if a, err = network.Resolve(m.o.Network, address); err != nil {
			m.o.Log.Error("a peer's address can't be used", "number", number, "address", address, "error", err)
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if a == nil {
		delete(m.to, number)
		return
	}
	m.to[number], m.most = a, max(m.most, number+1)
}

// Send sends a message, or loses it; it does not block.
func (m *Mail) Send(to int, data []byte) {
	select {
	case m.out <- letter{to, data}:
	default:
	}
}

// Close ends the Mail.
func (m *Mail) Close() {
	close(m.done)
	m.pc.Close()
	m.ended.Wait()
}

func (m *Mail) send() {
	var seq uint64
	for {
		select {
		case l := <-m.out:
			m.mu.Lock()
			addr := m.to[l.to]
			m.mu.Unlock()
			if addr != nil && len(l.data) <= MaxPayload {
				seq++
				m.pc.WriteTo(Seal(m.o.Keys.Keys()[0], Header{From: uint16(m.o.Me), To: uint16(l.to), Incarnation: m.o.Incarnation,
					Seq: seq, Sent: m.o.Wall()}, l.data), addr)
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

func (m *Mail) receive() {
	g := NewGuard(m.o.Me, len(m.o.Addresses)+1, m.o.Incarnation, m.o.Freshness, m.o.Rate)
	processes := knownProcesses{}
	var told [wordsCount]time.Time
	b := make([]byte, headerSize+MaxPayload+macSize+1)
	for {
		n, from, err := m.pc.ReadFrom(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // ICMP errors of earlier sends, on some systems
		}
		h, payload, ok := m.o.Keys.open(b[:n])
		now, word := m.o.Wall(), Foreign
		if ok {
			m.mu.Lock()
			g.Grow(m.most)
			m.mu.Unlock()
			word = g.Judge(now, h)
		}
		if word == Accept {
			if processes.isNew(h) && m.o.Restarted != nil {
				m.o.Restarted(int(h.From))
			}
			m.o.Deliver(int(h.From), append([]byte(nil), payload...))
			continue
		}
		const every = time.Second // lines of one kind
		if now.Sub(told[word]) < every {
			continue
		}
		told[word] = now
		level := slog.LevelDebug
		if word == Twice || word == TwiceHere {
			level = slog.LevelError
		}
		m.o.Log.Log(context.Background(), level, "message dropped: "+word.String(), "number", h.From, "from", from.String())
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
