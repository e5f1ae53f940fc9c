package peer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"yardcleat.example/yardcleat/internal/network"
)

// The sender of a message is identified by its address. Datagrams that are too long, empty or from
// an unknown address are dropped and counted, and a message to all is not delivered to its sender.
func TestPlainTransport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(time.Millisecond, 1)
		addresses := []string{"10.0.0.1:70", "10.0.0.2:70", "10.0.0.3:70"}
		delivered := make([][]string, len(addresses))
		var nodes []*PlainTransport
		for i, a := range addresses {
			transport, err := ListenPlain(PlainOptions{Network: memory.Host(fmt.Sprint("n", i)), Listen: a, Addresses: addresses, SelfIndex: i,
				Deliver: func(from int, data []byte) { delivered[i] = append(delivered[i], fmt.Sprint(from, ":", len(data))) }})
			if err != nil {
				t.Fatal(err)
			}
			nodes = append(nodes, transport)
		}
		unknown, err := memory.Host("unknown").ListenPacket("10.0.0.9:70")
		if err != nil {
			t.Fatal(err)
		}
		to, err := network.Resolve(memory.Host("unknown"), addresses[1])
		if err != nil {
			t.Fatal(err)
		}
		unknown.WriteTo([]byte("hello"), to)
		nodes[0].Send(1, []byte("one"))
		nodes[0].Send(1, []byte(strings.Repeat("x", MaxPlainPayload)))
		nodes[0].Send(1, []byte(strings.Repeat("x", MaxPlainPayload+1)))
		nodes[0].Send(0, []byte("self"))
		nodes[0].Send(7, []byte("unknown"))
		nodes[2].Send(-1, []byte("all"))
		time.Sleep(time.Second)
		synctest.Wait()
		slices.Sort(delivered[1]) // messages sent at the same time arrive in any order
		if s := fmt.Sprint(delivered); s != "[[2:3] [0:256 0:3 2:3] []]" {
			t.Error(s)
		}
		if n := nodes[1].DroppedDatagrams(); n != 1 {
			t.Errorf("%d datagrams dropped, want 1", n)
		}
		unknown.Close()
		for _, transport := range nodes {
			transport.Close()
		}
	})
}
