// Command case2 has the stand-ins of case 2: a keyed request that may have run is sent again after the window in which
// its group of app servers drops repeats, because the connection for the second attempt comes up late.
package main

import (
	"fmt"
	"sync"
	"time"

	"yardcleat.example/yardcleat/review/platform"
)

const (
	nodeCount    = 2
	groups       = 2
	groupSize    = 2
	window       = 1000 * time.Millisecond // within which app servers of a group drop repeats, from the settings
	windowSlack  = 50 * time.Millisecond   // by which every time limit is longer on sockets
	loanWork     = 300 * time.Millisecond
	lookupWork   = 20 * time.Millisecond
	loans        = 64
	failingShare = 8 // one of so many loans gets an error from its first app server, after it ran there
	loanInterval = 300 * time.Millisecond
	blockTime    = 500 * time.Millisecond
	requestTime  = 3 * time.Second
)

func main() { platform.Main(play) }

func play(o *platform.Options) (broken bool, err error) {
	w, err := newWorld(o)
	if err != nil {
		return false, err
	}
	discovery, err := platform.NewDiscovery("d", w.list, 0, o.Record)
	if err != nil {
		return false, err
	}
	nodes, err := platform.NewNodes(nodeCount, o.Folder)
	if err != nil {
		return false, err
	}
	if err := platform.WriteConfigs(nodes, discovery.Address, w.list.Snapshot(), settings()); err != nil {
		return false, err
	}
	if err := o.MarkReady(); err != nil {
		return false, err
	}
	for _, n := range nodes {
		if err := platform.AwaitReady(n.Listen, 10*time.Second); err != nil {
			return false, err
		}
	}
	stop := make(chan struct{})
	var lookups sync.WaitGroup
	for i, n := range nodes {
		lookups.Go(func() { w.sendLookups(n, uint64(i+1), stop) })
	}
	time.Sleep(time.Second)
	w.sendLoans(nodes)
	close(stop)
	lookups.Wait()
	return w.judge()
}

func settings() platform.Settings {
	return platform.Settings{
		DialTimeoutMS: 1500,
		Classes: []platform.Class{
			{Name: "lookup", Semantics: "repeatable", Group: "all", WindowMS: 5000, AimMS: 800, LimitMS: 3000, Value: 3, LateWorth: 0.2},
			{Name: "loan-change", Semantics: "by_key", Group: "cell", WindowMS: float64(window.Milliseconds()), AimMS: 600, LimitMS: 3000, Value: 2},
		},
	}
}

// sendLookups sends lookups to a node, one after another, so that most connections to app servers come up in time.
func (w *world) sendLookups(n platform.Node, customer uint64, stop <-chan struct{}) {
	client := platform.NewClient(n, w.record)
	defer client.Close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
		}
		r := platform.Request{ID: platform.NewID(), Class: "lookup", Customer: customer, Time: requestTime, Nodes: nodeCount}
		client.Do(r)
	}
}

// sendLoans sends the loans to the nodes in turn, one after another.
func (w *world) sendLoans(nodes []platform.Node) {
	for i := range loans {
		n := nodes[i%len(nodes)]
		id := platform.NewID()
		r := platform.Request{ID: id, Class: "loan-change", Key: "loan-" + id, Customer: 100, Time: requestTime, Nodes: nodeCount}
		client := platform.NewClient(n, w.record)
		a := client.Do(r)
		client.Close()
		time.Sleep(max(0, loanInterval-a.Elapsed))
	}
}

// judge counts the runs of each key.
func (w *world) judge() (broken bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	twice := 0
	for key, k := range w.keys {
		if k.runs > 1 {
			twice++
			w.record.Printf("judge: %s has run %d times; a second attempt was allowed for %d ms after the first", key, k.runs, (window + windowSlack).Milliseconds())
		}
	}
	w.record.Printf("judge: %d of %d keys have run more than once; %d of %d connections to app servers came up late or may have",
		twice, len(w.keys), w.late, w.connections)
	if len(w.keys) < loans {
		return false, fmt.Errorf("only %d of %d loans reached an app server", len(w.keys), loans)
	}
	if 3*w.late > w.connections {
		return false, fmt.Errorf("%d of %d connections came up late, more than a third", w.late, w.connections)
	}
	return twice > 0, nil
}
