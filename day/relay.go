package day

import (
	"math/rand/v2"
	"net"
	"strings"
	"sync"
)

// relay stands between a node and a peer, and loses what passes by chance.
type relay struct {
	address     string
	conn        net.PacketConn
	destination net.Addr
	mu          sync.Mutex
	lossRate    float64
	rng         *rand.Rand
}

func (r *relay) setLossRate(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lossRate = share
}

func (r *relay) forward() {
	b := make([]byte, 2048)
	for {
		n, _, err := r.conn.ReadFrom(b)
		if err != nil {
			if strings.Contains(err.Error(), "closed") {
				return
			}
			continue
		}
		r.mu.Lock()
		lost := r.rng.Float64() < r.lossRate
		r.mu.Unlock()
		if !lost {
			r.conn.WriteTo(b[:n], r.destination)
		}
	}
}

// openRelay opens a relay to a node's peer address and returns its own.
func (d *scenarioRun) openRelay(from, to int) (string, error) {
	address, err := d.options.Environment.NewAddress()
	if err != nil {
		return "", err
	}
	n := d.options.Environment.Network("relay")
	pc, err := n.ListenPacket(address)
	if err != nil {
		return "", err
	}
	dest, err := resolvePacketAddr(n, d.peerAddresses[to])
	if err != nil {
		return "", err
	}
	r := &relay{address: address, conn: pc, destination: dest, rng: rand.New(rand.NewPCG(uint64(d.script.Seed), uint64(from*1000+to)))}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.forward()
	}()
	d.closers = append(d.closers, func() {
		pc.Close()
		<-done
	})
	d.relays[[2]int{from, to}] = r
	return address, nil
}

func (d *scenarioRun) setPeerLossRate(share float64) {
	for _, r := range d.relays {
		r.setLossRate(share)
	}
}
