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

// Messages are known by where they come from; what is too long, empty or from
// elsewhere is dropped and counted, and one to all does not come back.
func TestBare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := network.NewMemory(time.Millisecond, 1)
		addresses := []string{"10.0.0.1:70", "10.0.0.2:70", "10.0.0.3:70"}
		got := make([][]string, len(addresses))
		var nodes []*Bare
		for n, a := range addresses {
			b, err := ListenBare(BareOptions{Network: mem.Host(fmt.Sprint("n", n)), Listen: a, Addresses: addresses, Me: n,
				Deliver: func(from int, data []byte) { got[n] = append(got[n], fmt.Sprint(from, ":", len(data))) }})
			if err != nil {
				t.Fatal(err)
			}
			nodes = append(nodes, b)
		}
		stranger, err := mem.Host("stranger").ListenPacket("10.0.0.9:70")
		if err != nil {
			t.Fatal(err)
		}
		to, err := network.Resolve(mem.Host("stranger"), addresses[1])
		if err != nil {
			t.Fatal(err)
		}
		stranger.WriteTo([]byte("hello"), to)
		nodes[0].Send(1, []byte("one"))
		nodes[0].Send(1, []byte(strings.Repeat("x", MaxBare)))
		nodes[0].Send(1, []byte(strings.Repeat("x", MaxBare+1)))
		nodes[0].Send(0, []byte("self"))
		nodes[0].Send(7, []byte("nobody"))
		nodes[2].Send(-1, []byte("all"))
		time.Sleep(time.Second)
		synctest.Wait()
		slices.Sort(got[1]) // those sent at one time come in any order
		if s := fmt.Sprint(got); s != "[[2:3] [0:256 0:3 2:3] []]" {
			t.Error(s)
		}
		if n := nodes[1].Foreign(); n != 1 {
			t.Errorf("%d foreign", n)
		}
		stranger.Close()
		for _, b := range nodes {
			b.Close()
		}
	})
}
