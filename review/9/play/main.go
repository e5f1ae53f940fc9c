// Command play plays case 9: clients stop in the middle of a request and stay, and the node holds what they sent.
package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"yardcleat.example/yardcleat/review/edgekit"
)

const (
	memoryMB    = 48   // the pages: 32 to 192 MB
	descriptors = 1024 // the pages: 256 to 1,024 descriptors
	badClients  = 700  // the pages: by the hundreds
	bodyBytes   = 64 << 10
	unsentBytes = 1 << 10 // the rest of the body, which never comes

	usualRate = 50
	playTime  = 12 * time.Second
	quietTime = 3 * time.Second // before the bad clients come
	stayTime  = 5 * time.Second // how long they stay; they are owed an error or a close within 3 s
)

func main() { edgekit.Play(play) }

func play(c *edgekit.Case) error {
	_, list, err := c.StartServers("s-", 4, func(a edgekit.Arrival) edgekit.Answer {
		return edgekit.OK("for "+a.ID, 20*time.Millisecond)
	})
	if err != nil {
		return err
	}
	d, err := c.StartDiscovery(list)
	if err != nil {
		return err
	}
	node, err := start(c, d.Address)
	if err != nil {
		return err
	}
	memory := c.WatchMemory(node, memoryMB)
	var bad sync.WaitGroup
	if c.Trouble {
		bad.Go(func() { stopInTheMiddle(c, node) })
	}
	usual := edgekit.Load{Node: node, PerS: usualRate, Duration: playTime, Workers: 20, Request: func(n int64) edgekit.Request {
		return edgekit.Request{ID: fmt.Sprintf("%016x", n), Class: "lookup", Plan: "basic", Customer: uint64(n%10 + 1), TimeLeft: 2900}
	}}.Play(c)
	bad.Wait()
	peakKB, killed := memory.Stop()
	c.Record.Say("usual clients: %v", usual)
	c.Record.Say("most memory without files: %d KiB of %d; killed: %v", peakKB, memoryMB<<10, killed)
	if usual.NoAnswer > 0 || usual.Foreign > 0 {
		c.Broken("usual clients: %d requests without an answer, %d with a foreign body", usual.NoAnswer, usual.Foreign)
	}
	return nil
}

func start(c *edgekit.Case, discovery string) (*edgekit.Node, error) {
	listen, err := edgekit.FreeAddress()
	if err != nil {
		return nil, err
	}
	return c.StartNode(&edgekit.Config{
		Name: "n0", Listen: listen, Discovery: discovery, Seed: "8c1f30d27a5be964",
		Limits: edgekit.Limits{Cores: 1, MemoryMB: memoryMB, Sockets: descriptors},
		Settings: edgekit.Settings{
			Nodes: 1, Cancel: true,
			Classes: []edgekit.Class{
				{Name: "lookup", Semantics: "repeatable", Group: "all", AimMS: 800, LimitMS: 3000},
				{Name: "loan-change", Semantics: "by_key", Group: "all", AimMS: 600, LimitMS: 2000, WindowMS: 2000},
			},
			Plans: []edgekit.Plan{{Name: "basic", Rate: 100, StoreSize: 400}},
		}.JSON(),
	})
}

// stopInTheMiddle connects the bad clients. Each sends a request but for the end of its body, stops, and stays.
func stopInTheMiddle(c *edgekit.Case, node *edgekit.Node) {
	time.Sleep(quietTime)
	c.Record.Say("%d clients send all but %d bytes of a request with a body of %d, and stay", badClients, unsentBytes, bodyBytes)
	var clients sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	for i := range badClients {
		clients.Go(func() {
			end := badClient(node, i)
			c.Record.Line("bad client %d got %s", i, end)
			mu.Lock()
			ends[end]++
			mu.Unlock()
		})
		time.Sleep(time.Millisecond)
	}
	clients.Wait()
	c.Record.Say("bad clients got: %v", ends)
}

// badClient returns what the client got.
func badClient(node *edgekit.Node, number int) string {
	client, err := edgekit.Dial(node.Address)
	if err != nil {
		return "no connection"
	}
	defer client.Close()
	r := edgekit.Request{ID: fmt.Sprintf("bad-%d", number), Class: "loan-change", Plan: "basic", Customer: uint64(number + 100), TimeLeft: 1900,
		Key: fmt.Sprintf("key-%d", number), Body: strings.Repeat("x", bodyBytes)}
	text := r.Text()
	begun := time.Now()
	_ = client.SetDeadline(begun.Add(stayTime))
	if _, err := io.WriteString(client.Conn, text[:len(text)-unsentBytes]); err != nil {
		return "a reset while it sent"
	}
	reply := client.Read("POST", begun)
	if reply.Status == 0 {
		return "an end without an answer"
	}
	return fmt.Sprintf("status %d", reply.Status)
}
