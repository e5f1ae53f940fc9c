package peer

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"yardcleat.example/yardcleat/internal/network"
)

// BareOptions is what a Bare is made of.
type BareOptions struct {
	Network   network.Network
	Listen    string
	Addresses []string // of all nodes, by number, this one's own among them
	All       string   // reaches every node; "": each is sent to by itself
	Me        int
	Deliver   func(from int, data []byte)
}

// Bare sends and takes messages without a seal, where the network itself vouches
// for the sender's address and datagrams have no room for more.
type Bare struct {
	o       BareOptions
	pc      net.PacketConn
	to      []net.Addr
	all     net.Addr
	from    map[string]int // by address
	out     chan letter
	done    chan struct{}
	ended   sync.WaitGroup
	foreign atomic.Int64
}

// MaxBare is the largest message, in bytes.
const MaxBare = 256

// ListenBare starts a Bare.
func ListenBare(o BareOptions) (*Bare, error) {
	b := &Bare{o: o, from: map[string]int{}, out: make(chan letter, mostWaiting), done: make(chan struct{})}
	for n, address := range o.Addresses {
		a, err := network.Resolve(o.Network, address)
		if err != nil {
			return nil, fmt.Errorf("peer %d: %w", n, err)
		}
		b.to, b.from[a.String()] = append(b.to, a), n
	}
	var err error
	if o.All != "" {
		if b.all, err = network.Resolve(o.Network, o.All); err != nil {
			return nil, fmt.Errorf("all peers: %w", err)
		}
	}
	if b.pc, err = o.Network.ListenPacket(o.Listen); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	b.ended.Go(b.send)
	b.ended.Go(b.receive)
	return b, nil
}

// Send sends a message to a node, or to all with a number below 0, or loses it; it
// does not block.
func (b *Bare) Send(to int, data []byte) {
	if len(data) > MaxBare || to >= len(b.to) || to == b.o.Me {
		return
	}
	select {
	case b.out <- letter{to, data}:
	default:
	}
}

// Foreign counts the datagrams dropped for their size or sender.
func (b *Bare) Foreign() int64 { return b.foreign.Load() }

// Close ends the Bare.
func (b *Bare) Close() {
	close(b.done)
	b.pc.Close()
	b.ended.Wait()
}

func (b *Bare) send() {
	for {
		select {
		case l := <-b.out:
			switch {
			case l.to >= 0:
				b.pc.WriteTo(l.data, b.to[l.to])
			case b.all != nil:
				b.pc.WriteTo(l.data, b.all)
			default:
				for n, a := range b.to {
					if n != b.o.Me {
						b.pc.WriteTo(l.data, a)
					}
				}
			}
		case <-b.done:
			return
		}
	}
}

func (b *Bare) receive() {
	buf := make([]byte, MaxBare+1)
	for {
		n, from, err := b.pc.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // ICMP errors of earlier sends, on some systems
		}
		num, known := b.from[from.String()]
		if !known || n == 0 || n > MaxBare {
			b.foreign.Add(1)
			continue
		}
		if num != b.o.Me { // a message to all comes back, too
			b.o.Deliver(num, append([]byte(nil), buf[:n]...))
		}
	}
}
