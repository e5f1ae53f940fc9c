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

	"yardcleat.example/yardcleat/internal/files"
	"yardcleat.example/yardcleat/internal/network"
)

// Options configures an AuthenticatedTransport.
type Options struct {
	Network           network.Network
	Listen            string
	Addresses         map[int]string // of the other nodes, by number
	SelfIndex         int
	Keys              *Keyring
	Incarnation       uint64
	MaxMessageAge     time.Duration
	MessagesPerSecond float64 // messages accepted per second
	Log               *slog.Logger
	WallClock         func() time.Time // nil: time.Now
	Deliver           func(from int, data []byte)

	// Restarted is called with the number of a peer before its first message is delivered, and
	// again before the first message of each later process with that number. It may be nil.
	Restarted func(from int)
}

// AuthenticatedTransport sends sealed messages to peers and delivers the messages of peers that
// are authentic, fresh and not replayed.
type AuthenticatedTransport struct {
	options    Options
	socket     net.PacketConn
	mu         sync.Mutex
	addresses  map[int]net.Addr
	nodes      int // one more than the highest number for which SetAddress has set an address
	queue      chan outgoingMessage
	done       chan struct{}
	goroutines sync.WaitGroup
}

type outgoingMessage struct {
	to      int
	payload []byte
}

const maxQueuedMessages = 4096 // messages waiting to be sent; further ones are dropped

// Listen starts an AuthenticatedTransport.
func Listen(o Options) (*AuthenticatedTransport, error) {
	t := &AuthenticatedTransport{options: o, addresses: map[int]net.Addr{}, queue: make(chan outgoingMessage, maxQueuedMessages), done: make(chan struct{})}
	for number, addr := range o.Addresses {
		a, err := network.Resolve(o.Network, addr)
		if err != nil {
			return nil, fmt.Errorf("peer %d: %w", number, err)
		}
		t.addresses[number] = a
	}
	socket, err := o.Network.ListenPacket(o.Listen)
	if err != nil {
		return nil, fmt.Errorf("listening for peer messages: %w", err)
	}
	t.socket = socket
	if t.options.WallClock == nil {
		t.options.WallClock = time.Now
	}
	t.goroutines.Go(t.send)
	t.goroutines.Go(t.receive)
	return t, nil
}

// SetAddress sets the address of the peer with the given number. "": the peer has none, and
// messages to it are dropped. An address that can't be resolved is logged and changes nothing.
func (t *AuthenticatedTransport) SetAddress(number int, address string) {
	var a net.Addr
	if address != "" {
		var err error
		if a, err = network.Resolve(t.options.Network, address); err != nil {
			t.options.Log.Error("a peer's address can't be used", "number", number, "address", address, "error", err)
			return
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if a == nil {
		delete(t.addresses, number)
		return
	}
	t.addresses[number], t.nodes = a, max(t.nodes, number+1)
}

// Send sends a message to a peer. It does not block; a message that can't be queued, is too large
// or is for a peer without an address is dropped.
func (t *AuthenticatedTransport) Send(to int, data []byte) {
	select {
	case t.queue <- outgoingMessage{to, data}:
	default:
	}
}

// Close stops the transport and waits for its goroutines to end.
func (t *AuthenticatedTransport) Close() {
	close(t.done)
	t.socket.Close()
	t.goroutines.Wait()
}

func (t *AuthenticatedTransport) send() {
	var seq uint64
	for {
		select {
		case message := <-t.queue:
			t.mu.Lock()
			addr := t.addresses[message.to]
			t.mu.Unlock()
			if addr != nil && len(message.payload) <= MaxPayload {
				seq++
				t.socket.WriteTo(Seal(t.options.Keys.Keys()[0], Header{From: uint16(t.options.SelfIndex), To: uint16(message.to), Incarnation: t.options.Incarnation,
					Seq: seq, Sent: t.options.WallClock()}, message.payload), addr)
			}
		case <-t.done:
			return
		}
	}
}

// knownProcesses holds the incarnation of the last known process of each number.
type knownProcesses map[uint16]uint64

// isNew reports whether an accepted message is the first one of its process, and records the process.
func (k knownProcesses) isNew(h Header) bool {
	if k[h.From] == h.Incarnation {
		return false
	}
	k[h.From] = h.Incarnation
	return true
}

func (t *AuthenticatedTransport) receive() {
	filter := NewPacketFilter(t.options.SelfIndex, len(t.options.Addresses)+1, t.options.Incarnation, t.options.MaxMessageAge, t.options.MessagesPerSecond)
	processes := knownProcesses{}
	var loggedAt [packetStatusCount]time.Time
	buf := make([]byte, headerSize+MaxPayload+macSize+1)
	for {
		n, from, err := t.socket.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // some systems report ICMP errors of earlier sends here
		}
		h, payload, ok := t.options.Keys.open(buf[:n])
		now, status := t.options.WallClock(), Misaddressed
		if ok {
			t.mu.Lock()
			filter.Grow(t.nodes)
			t.mu.Unlock()
			status = filter.Check(now, h)
		}
		if status == Accepted {
			if processes.isNew(h) && t.options.Restarted != nil {
				t.options.Restarted(int(h.From))
			}
			t.options.Deliver(int(h.From), append([]byte(nil), payload...))
			continue
		}
		const logInterval = time.Second // between log lines of one status
		if now.Sub(loggedAt[status]) < logInterval {
			continue
		}
		loggedAt[status] = now
		level := slog.LevelDebug
		if status == DuplicateNumber || status == DuplicateOwnNumber {
			level = slog.LevelError
		}
		t.options.Log.Log(context.Background(), level, "message dropped: "+status.String(), "number", h.From, "from", from.String())
	}
}

// incarnationFileMode is the mode of the file of the incarnation, which only its owner can read and write.
const incarnationFileMode = 0o600

// Incarnation returns the incarnation of a process: its start in nanoseconds of Unix time, or one
// more than the last incarnation stored in dir if that is higher. The result is then stored in dir.
// If dir is "", nothing is read or stored. An error means that reading or storing failed; the
// incarnation can be used nevertheless.
func Incarnation(dir string, now time.Time) (uint64, error) {
	inc := uint64(now.UnixNano())
	if dir == "" {
		return inc, nil
	}
	path := filepath.Join(dir, "incarnation")
	b, err := os.ReadFile(path)
	var invalid error
	switch last, parseErr := strconv.ParseUint(strings.TrimSpace(string(b)), 10, 64); {
	case err == nil && parseErr == nil:
		inc = max(inc, last+1)
	case err == nil:
		invalid = fmt.Errorf("peer: %s is not a valid incarnation file; using the clock alone", path)
	case !errors.Is(err, fs.ErrNotExist):
		return inc, err
	}
	err = files.Replace(path, []byte(strconv.FormatUint(inc, 10)+"\n"), incarnationFileMode)
	return inc, cmp.Or(invalid, err)
}
