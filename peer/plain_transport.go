package peer

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"yardcleat.example/yardcleat/internal/network"
)

// PlainOptions is what a Bare is made of.
type PlainOptions struct {
	Network   network.Network
	Listen    string
	Addresses []string // of all nodes, by number, this one's own among them
	Broadcast string   // reaches every node; "": each is sent to by itself
	SelfIndex int
	Deliver   func(from int, data []byte)
}

// PlainTransport sends and takes messages without a seal, where the network itself vouches
// for the sender's address and datagrams have no room for more.
type PlainTransport struct {
	options    PlainOptions
	socket     net.PacketConn
	addresses  []net.Addr
	broadcast  net.Addr
	indexes    map[string]int // by address
	queue      chan outgoingMessage
	done       chan struct{}
	goroutines sync.WaitGroup
	dropped    atomic.Int64
}

// MaxPlainPayload is the largest message, in bytes.
const MaxPlainPayload = 256

// ListenPlain starts a Bare.
func ListenPlain(o PlainOptions) (*PlainTransport, error) {
	b := &PlainTransport{options: o, indexes: map[string]int{}, queue: make(chan outgoingMessage, maxQueuedMessages), done: make(chan struct{})}
	for n, address := range o.Addresses {
		a, err := network.Addr(o.Network, address)
		if err != nil {
			return nil, fmt.Errorf("peer %d: %w", n, err)
		}
		b.addresses, b.indexes[a.String()] = append(b.addresses, a), n
	}
	var err error
	if o.Broadcast != "" {
		if b.broadcast, err = network.Addr(o.Network, o.Broadcast); err != nil {
			return nil, fmt.Errorf("all peers: %w", err)
		}
	}
	if b.socket, err = o.Network.ListenPacket(o.Listen); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	b.goroutines.Go(b.send)
	b.goroutines.Go(b.receive)
	return b, nil
}

// Send sends a message to a node, or to all with a number below 0, or loses it; it
// does not block.
func (b *PlainTransport) Send(to int, data []byte) {
	if len(data) > MaxPlainPayload || to >= len(b.addresses) || to == b.options.SelfIndex {
		return
	}
	select {
	case b.queue <- outgoingMessage{to, data}:
	default:
	}
}

// DroppedDatagrams counts the datagrams dropped for their size or sender.
func (b *PlainTransport) DroppedDatagrams() int64 { return b.dropped.Load() }

// Close ends the Bare.
func (b *PlainTransport) Close() {
	close(b.done)
	b.socket.Close()
	b.goroutines.Wait()
}

func (b *PlainTransport) send() {
	for {
		select {
		case l := <-b.queue:
			switch {
			case l.to >= 0:
				b.socket.WriteTo(l.payload, b.addresses[l.to])
			case b.broadcast != nil:
				b.socket.WriteTo(l.payload, b.broadcast)
			default:
				for n, a := range b.addresses {
					if n != b.options.SelfIndex {
						b.socket.WriteTo(l.payload, a)
					}
				}
			}
		case <-b.done:
			return
		}
	}
}

func (b *PlainTransport) receive() {
	buf := make([]byte, MaxPlainPayload+1)
	for {
		n, from, err := b.socket.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // ICMP errors of earlier sends, on some systems
		}
		num, known := b.indexes[from.String()]
		if !known || n == 0 || n > MaxPlainPayload {
			b.dropped.Add(1)
			continue
		}
		if num != b.options.SelfIndex { // a message to all comes back, too
			b.options.Deliver(num, append([]byte(nil), buf[:n]...))
		}
	}
}
