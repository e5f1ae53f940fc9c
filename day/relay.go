package day

import (
	"math/rand/v2"
	"net"
	"strings"
	"sync"
)

// relay forwards the peer messages from one node to another, and drops a random fraction of them.
type relay struct {
	address     string
	conn        net.PacketConn
	destination net.Addr
	mu          sync.Mutex
	lossRate    float64
	rng         *rand.Rand
}

func (r *relay) setLossRate(rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lossRate = rate
}

func (r *relay) forward() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := r.conn.ReadFrom(buffer)
		if err != nil {
			if strings.Contains(err.Error(), "closed") {
				return
			}
			continue
		}
		r.mu.Lock()
		drop := r.rng.Float64() < r.lossRate
		r.mu.Unlock()
		if !drop {
			r.conn.WriteTo(buffer[:n], r.destination)
		}
	}
}

// openRelay opens a relay from one node to the peer address of another, and returns the address of
// the relay.
func (run *scenarioRun) openRelay(from, to int) (string, error) {
	address, err := run.options.Environment.NewAddress()
	if err != nil {
		return "", err
	}
	network := run.options.Environment.Network("relay")
	conn, err := network.ListenPacket(address)
	if err != nil {
		return "", err
	}
	destination, err := packetAddr(network, run.peerAddresses[to])
	if err != nil {
		return "", err
	}
	r := &relay{address: address, conn: conn, destination: destination, rng: rand.New(rand.NewPCG(uint64(run.script.Seed), uint64(from*1000+to)))}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.forward()
	}()
	run.closers = append(run.closers, func() {
		conn.Close()
		<-done
	})
	run.relays[[2]int{from, to}] = r
	return address, nil
}

func (run *scenarioRun) setPeerLossRate(rate float64) {
	for _, r := range run.relays {
		r.setLossRate(rate)
	}
}
