package day

import (
	"math/rand/v2"
	"net"
	"strings"
	"sync"
)

// relay stands between a node and a peer, and loses what passes by chance.
type relay struct {
	address string
	pc      net.PacketConn
	to      net.Addr
	mu      sync.Mutex
	share   float64
	rng     *rand.Rand
}

func (r *relay) lose(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share = share
}

func (r *relay) run() {
	b := make([]byte, 2048)
	for {
		n, _, err := r.pc.ReadFrom(b)
		if err != nil {
			if strings.Contains(err.Error(), "closed") {
				return
			}
			continue
		}
		r.mu.Lock()
		lost := r.rng.Float64() < r.share
		r.mu.Unlock()
		if !lost {
			r.pc.WriteTo(b[:n], r.to)
		}
	}
}

// relayTo opens a relay to a node's peer address and returns its own.
func (d *stage) relayTo(from, to int) (string, error) {
	address, err := d.o.Environment.NewAddress()
	if err != nil {
		return "", err
	}
	n := d.o.Environment.Network("relay")
	pc, err := n.ListenPacket(address)
	if err != nil {
		return "", err
	}
	dest, err := packetAddr(n, d.peer[to])
	if err != nil {
		return "", err
	}
	r := &relay{address: address, pc: pc, to: dest, rng: rand.New(rand.NewPCG(uint64(d.s.Seed), uint64(from*1000+to)))}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.run()
	}()
	d.closes = append(d.closes, func() {
		pc.Close()
		<-done
	})
	d.relays[[2]int{from, to}] = r
	return address, nil
}

func (d *stage) lose(share float64) {
	for _, r := range d.relays {
		r.lose(share)
	}
}
