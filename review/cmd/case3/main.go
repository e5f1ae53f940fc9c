// Command case3 has the stand-ins of case 3: discovery answers a second late, and the edge nodes never learn of an app
// server that drains and of one that was replaced, so that keyed requests run twice.
package main

import (
	"fmt"
	"sync"
	"time"

	"yardcleat.example/yardcleat/review/platform"
)

const (
	nodeCount      = 2
	discoveryDelay = time.Second // of each answer, with the disruption
	window         = 2 * time.Second
	windowSlack    = 50 * time.Millisecond // by which every time limit is longer on sockets
	failingShare   = 8                     // one of so many loans gets an error from its first app server, after it ran
	requestTime    = 2 * time.Second
	loans          = 120
	loanInterval   = 100 * time.Millisecond

	// Times since the nodes are ready.
	drainAt   = time.Second
	replaceAt = 2 * time.Second
	loansAt   = 11 * time.Second

	// A change counts as told this long after discovery has it, whether or not it arrived.
	toldAfter  = 6 * time.Second
	drainGrace = 250*time.Millisecond + 50*time.Millisecond // of the settings, and the slack on sockets
)

func main() { platform.Main(play) }

func play(o *platform.Options) (broken bool, err error) {
	w, err := newWorld(o)
	if err != nil {
		return false, err
	}
	delay := time.Duration(0)
	if o.Trouble {
		delay = discoveryDelay
	}
	discovery, err := platform.NewDiscovery("d", w.list, delay, o.Record)
	if err != nil {
		return false, err
	}
	nodes, err := platform.StartNodes(o, nodeCount, discovery.Address, w.list.Snapshot(), settings())
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var lookups sync.WaitGroup
	for _, n := range nodes {
		lookups.Go(func() { sendLookups(n, o.Record, stop) })
	}
	if err := w.replaceServers(); err != nil {
		return false, err
	}
	w.sendLoans(nodes)
	close(stop)
	lookups.Wait()
	return w.judge()
}

func settings() platform.Settings {
	return platform.Settings{
		DialTimeoutMS: 250,
		Classes: []platform.Class{
			{Name: "lookup", Semantics: "repeatable", Group: "all", WindowMS: 5000, AimMS: 800, LimitMS: 3000, Value: 3, LateWorth: 0.2},
			{Name: "loan-change", Semantics: "by_key", Group: "cell", WindowMS: float64(window.Milliseconds()), AimMS: 600, LimitMS: 2000, Value: 2},
		},
	}
}

// sendLookups sends lookups to a node, one after another, until stop is closed.
func sendLookups(n platform.Node, record *platform.Record, stop <-chan struct{}) {
	client := platform.NewClient(n, record)
	defer client.Close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		client.Do(platform.Request{ID: platform.NewID(), Class: "lookup", Customer: 7, Time: requestTime, Nodes: nodeCount})
	}
}

// sendLoans sends the loans to the nodes in turn, one after another.
func (w *world) sendLoans(nodes []platform.Node) {
	clients := [nodeCount]*platform.Client{}
	for i, n := range nodes {
		clients[i] = platform.NewClient(n, w.record)
		defer clients[i].Close()
	}
	for i := range loans {
		id := platform.NewID()
		clients[i%nodeCount].Do(platform.Request{ID: id, Class: "loan-change", Key: "loan-" + id, Customer: 100, Time: requestTime, Nodes: nodeCount})
		time.Sleep(loanInterval)
	}
}

// judge reports whether a key has run more than once, or an attempt came to the draining app server too late.
func (w *world) judge() (broken bool, err error) {
	keys, twice := w.keys.Count()
	late := w.lateAtDraining.Load()
	for _, key := range w.keys.Twice() {
		w.record.Printf("judge: %s has run more than once", key)
	}
	w.record.Printf("judge: %d of %d keys have run more than once", twice, keys)
	w.record.Printf("judge: %d attempts came to the draining app server later than %d ms after the change", late, (toldAfter + drainGrace).Milliseconds())
	if keys < loans/2 {
		return false, fmt.Errorf("only %d of %d loans reached an app server", keys, loans)
	}
	return twice > 0 || late > 0, nil
}
