package membership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func testNode(i int) Node { return Node{fmt.Sprint("n", i), fmt.Sprint("10.0.0.1:", i)} }

// Guards against shares that sum to more than the ceiling under random faults: nodes join, leave, are
// replaced, crash, and are suspended and resumed; rosters reach hosts late or not at all; messages
// are lost, delayed, duplicated and reordered. At no time may two nodes act under the same number, or
// the shares sum to more than the ceiling. After the faults have ended, all nodes must agree, and the
// shares must sum to the whole ceiling.
func TestShareSumNeverExceedsCeilingUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &testFleet{t: t, now: testStart, hosts: map[string]*testHost{}}
		f.roster = Roster{Epoch: 1, Nodes: []Node{f.addHost(), f.addHost(), f.addHost()}}
		for _, name := range f.hostNames() {
			f.hosts[name].rosterFile = f.roster
			f.start(f.hosts[name])
		}
		t.Repeat(map[string]func(*rapid.T){
			"grow":              f.growRandomly,
			"shrink":            f.shrinkRandomly,
			"replace":           f.replaceRandomNode,
			"read roster":       func(t *rapid.T) { f.copyRoster(f.randomHost(t)) },
			"start":             f.startRandomHost,
			"kill":              func(t *rapid.T) { f.randomHost(t).process = nil },
			"suspend or resume": f.suspendOrResumeRandomHost,
			"drain":             f.drainRandomHost,
			"tick":              func(*rapid.T) { f.tick() },
			"message delivery":  f.deliverRandomly,
			"":                  func(*rapid.T) { f.checkInvariants() },
		})
		f.endFaults()
		f.settle()
		f.removeLeavingNodes()
		f.checkAgreement()
	})
}

func (f *testFleet) randomHost(t *rapid.T) *testHost {
	return f.hosts[rapid.SampledFrom(f.hostNames()).Draw(t, "host")]
}

func (f *testFleet) growRandomly(t *rapid.T) {
	n := rapid.IntRange(1, 3).Draw(t, "by")
	nodes := slices.Clone(f.roster.Nodes)
	for range n {
		nodes = append(nodes, f.joiningNode(len(nodes)))
	}
	f.change(nodes)
}

// joiningNode returns the node that joins under a number. A number that a leaving node may still use
// can only be assigned to that node again.
func (f *testFleet) joiningNode(number int) Node {
	for _, l := range f.roster.Leaving {
		if l.Number == number {
			return l.Node
		}
	}
	return f.addHost()
}

func (f *testFleet) shrinkRandomly(t *rapid.T) {
	if n := len(f.roster.Nodes); n > 1 {
		f.change(f.roster.Nodes[:n-rapid.IntRange(1, n-1).Draw(t, "by")])
	}
}

func (f *testFleet) replaceRandomNode(t *rapid.T) {
	number := rapid.IntRange(0, len(f.roster.Nodes)-1).Draw(t, "number")
	old := f.hosts[f.roster.Nodes[number].Name]
	old.process = nil // the operators have verified that it does not run
	nodes := slices.Clone(f.roster.Nodes)
	nodes[number] = f.addHost()
	f.change(nodes, old.name)
	delete(f.hosts, old.name)
}

func (f *testFleet) startRandomHost(t *rapid.T) {
	if h := f.randomHost(t); h.process == nil && h.rosterFile.Epoch > 0 {
		f.start(h)
	}
}

func (f *testFleet) suspendOrResumeRandomHost(t *rapid.T) {
	if h := f.randomHost(t); h.process != nil {
		h.process.suspended = !h.process.suspended
	}
}

func (f *testFleet) drainRandomHost(t *rapid.T) {
	if h := f.randomHost(t); h.running() {
		f.execute(h, h.process.machine.StartDraining())
	}
}

// deliverRandomly handles as many random messages as are in flight: each one is lost, delivered, or
// delivered and kept in flight for another delivery.
func (f *testFleet) deliverRandomly(t *rapid.T) {
	for n := len(f.inFlight); n > 0; n-- {
		i := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "message")
		switch rapid.IntRange(0, 3).Draw(t, "outcome") {
		case 0: // lost
			f.inFlight = slices.Delete(f.inFlight, i, i+1)
		case 1: // delivered now and possibly again later
			f.deliver(i)
		default:
			f.deliver(i)
			f.inFlight = slices.Delete(f.inFlight, i, i+1)
		}
		f.checkInvariants()
	}
}

// endFaults makes every member run and read the latest roster, and ends the processes of all other
// hosts. Nodes that never announced that they stopped are removed by removeLeavingNodes.
func (f *testFleet) endFaults() {
	for _, name := range f.hostNames() {
		h := f.hosts[name]
		if f.roster.numberOf(name) < 0 {
			h.process = nil
			continue
		}
		h.rosterFile = f.roster
		if h.process == nil {
			f.start(h)
		}
		h.process.suspended = false
		f.copyRoster(h)
	}
}

// removeLeavingNodes declares that no leaving node runs any more, and lets all others complete the
// change. That takes at most three epochs, each of which waits for the previous one.
func (f *testFleet) removeLeavingNodes() {
	var removed []string
	for _, l := range f.roster.Leaving {
		removed = append(removed, l.Name)
	}
	f.change(f.roster.Nodes, removed...)
	for range 3 {
		for _, name := range f.hostNames() {
			if h := f.hosts[name]; h.process != nil {
				f.copyRoster(h)
			}
		}
		f.settle()
	}
}

// checkAgreement fails the test unless the change is complete on every member and the shares sum to
// the whole ceiling.
func (f *testFleet) checkAgreement() {
	sum := 0.0
	for _, n := range f.roster.Nodes {
		h := f.hosts[n.Name]
		sum += h.share()
		m := h.process.machine
		if !m.ChangeComplete() || h.process.gateways != len(f.roster.Nodes) {
			f.t.Fatalf("%s: complete %v, %d of %d nodes; waiting for %v", n.Name, m.ChangeComplete(), h.process.gateways, len(f.roster.Nodes), m.awaitedNumbers())
		}
	}
	if sum < 1-1e-9 {
		f.t.Fatalf("after the faults ended, the shares sum to %v", sum)
	}
}
