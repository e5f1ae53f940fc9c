package peer

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"yardcleat.example/yardcleat/internal/network"
)

// PlainOptions configures a PlainTransport.
type PlainOptions struct {
	Network   network.Network
	Listen    string
	Addresses []string // of all nodes, by index, including this node's own
	Broadcast string   // address that reaches every node; "": a message to all is sent to each node separately
	SelfIndex int
	Deliver   func(from int, data []byte)
}

// PlainTransport sends and receives messages without authentication. It is for networks that
// guarantee the sender's address and whose datagrams have no room for an authentication code.
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

// MaxPlainPayload is the size of the largest message in bytes.
const MaxPlainPayload = 256

// ListenPlain starts a PlainTransport.
func ListenPlain(o PlainOptions) (*PlainTransport, error) {
	t := &PlainTransport{options: o, indexes: map[string]int{}, queue: make(chan outgoingMessage, maxQueuedMessages), done: make(chan struct{})}
	for i, address := range o.Addresses {
		a, err := network.Resolve(o.Network, address)
		if err != nil {
			return nil, fmt.Errorf("peer %d: %w", i, err)
		}
		t.addresses, t.indexes[a.String()] = append(t.addresses, a), i
	}
	var err error
	if o.Broadcast != "" {
		if t.broadcast, err = network.Resolve(o.Network, o.Broadcast); err != nil {
			return nil, fmt.Errorf("broadcast address: %w", err)
		}
	}
	if t.socket, err = o.Network.ListenPacket(o.Listen); err != nil {
		return nil, fmt.Errorf("listening for peer messages: %w", err)
	}
	t.goroutines.Go(t.send)
	t.goroutines.Go(t.receive)
	return t, nil
}

// Send sends a message to a node, or to all nodes if the index is negative. It does not block;
// a message that can't be queued or is too large is dropped.
func (t *PlainTransport) Send(to int, data []byte) {
	if len(data) > MaxPlainPayload || to >= len(t.addresses) || to == t.options.SelfIndex {
		return
	}
	select {
	case t.queue <- outgoingMessage{to, data}:
	default:
	}
}

// DroppedDatagrams returns the number of received datagrams dropped because of their size or
// an unknown sender.
func (t *PlainTransport) DroppedDatagrams() int64 { return t.dropped.Load() }

// Close stops the transport and waits for its goroutines to end.
func (t *PlainTransport) Close() {
	close(t.done)
	t.socket.Close()
	t.goroutines.Wait()
}

func (t *PlainTransport) send() {
	for {
		select {
		case message := <-t.queue:
			switch {
			case message.to >= 0:
				t.socket.WriteTo(message.payload, t.addresses[message.to])
			case t.broadcast != nil:
				t.socket.WriteTo(message.payload, t.broadcast)
			default:
				for i, a := range t.addresses {
					if i != t.options.SelfIndex {
						t.socket.WriteTo(message.payload, a)
					}
				}
			}
		case <-t.done:
			return
		}
	}
}

func (t *PlainTransport) receive() {
	buf := make([]byte, MaxPlainPayload+1)
	for {
		n, from, err := t.socket.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // some systems report ICMP errors of earlier sends here
		}
		index, known := t.indexes[from.String()]
		if !known || n == 0 || n > MaxPlainPayload {
			t.dropped.Add(1)
			continue
		}
		if index != t.options.SelfIndex { // a broadcast is also received by its sender
			t.options.Deliver(index, append([]byte(nil), buf[:n]...))
		}
	}
}
