package membership

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// testFleet is a fleet of hosts, the operators' roster and the messages between them, under
// a clock of its own.
type testFleet struct {
	t         *rapid.T
	now       time.Time
	hosts     map[string]*testHost
	roster    Roster // the operators' latest
	inFlight  []testMessage
	hostCount int
}

// testHost is where a node's processes run.
type testHost struct {
	name       string
	snapshot   Snapshot // on its disk
	rosterFile Roster   // as copied to it
	process    *testProcess
}

// testProcess is one process of a node, with what its quota policy was last told.
type testProcess struct {
	machine      *StateMachine
	gateways     int
	previousSize int
	suspended    bool // by SIGSTOP
	warnings     int  // notes that need an operator
}

type testMessage struct {
	from, to     int
	announcement Announcement
}

// running reports whether the host has a process that runs.
func (h *testHost) running() bool { return h.process != nil && !h.process.suspended }

// resize does as the quota policy does: while a change is under way, the size before it
// stays.
func (p *testProcess) resize(a FleetResized) {
	if a.PreviousSize == 0 {
		p.previousSize = 0
	} else if p.previousSize == 0 {
		p.previousSize = a.PreviousSize
	}
	p.gateways = a.Gateways
}

// share is the part of a hard ceiling that a host's process enforces.
func (h *testHost) share() float64 {
	if h.process == nil || h.process.gateways == 0 {
		return 0
	}
	number := h.process.machine.Number()
	share := shareOf(number, h.process.gateways)
	if h.process.previousSize == 0 {
		return share
	}
	return min(share, shareOf(number, h.process.previousSize))
}

func shareOf(number, gateways int) float64 {
	if number < 0 || gateways <= 0 || number >= gateways {
		return 0
	}
	return 1 / float64(gateways)
}

// execute carries out the actions of a host's state machine.
func (f *testFleet) execute(h *testHost, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case FleetResized:
			h.process.resize(a)
		case SaveSnapshot:
			h.snapshot = a.Snapshot
		case SendAnnouncement:
			f.inFlight = append(f.inFlight, testMessage{h.process.machine.Number(), a.To, a.Announcement})
		case LogEvent:
			if a.NeedsAction {
				h.process.warnings++
			}
		}
	}
}

// checkInvariants fails the test if two hosts act under one number, or shares sum to more
// than the whole.
func (f *testFleet) checkInvariants() {
	sum := 0.0
	acting := map[int]string{}
	for _, name := range f.hostNames() {
		h := f.hosts[name]
		if h.share() == 0 {
			continue
		}
		sum += h.share()
		number := h.process.machine.Number()
		if other, twice := acting[number]; twice {
			f.t.Fatalf("%s and %s act under number %d", name, other, number)
		}
		acting[number] = name
	}
	if sum > 1+1e-9 {
		f.t.Fatalf("the shares sum to %v", sum)
	}
}

func (f *testFleet) hostNames() (list []string) {
	for n := range f.hosts {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}

// addHost adds a host that runs nothing, and returns its node.
func (f *testFleet) addHost() Node {
	f.hostCount++
	n := testNode(f.hostCount)
	f.hosts[n.Name] = &testHost{name: n.Name}
	return n
}

// start starts a process on a host, which reads the roster file.
func (f *testFleet) start(h *testHost) {
	h.process = &testProcess{machine: NewStateMachine(Settings{Name: h.name, Snapshot: h.snapshot})}
	f.execute(h, h.process.machine.EndpointsReady())
	f.execute(h, h.process.machine.HandleRoster(f.now, h.rosterFile))
	f.execute(h, h.process.machine.StartServing())
}

// change has the operators make the next epoch, whoever has read the last one.
func (f *testFleet) change(nodes []Node, removed ...string) {
	r, err := f.roster.Next(nodes, removed)
	if err != nil {
		f.t.Fatal(err)
	}
	f.roster = r
}

// copyRoster copies the latest roster to a host; its process reads it if it runs.
func (f *testFleet) copyRoster(h *testHost) {
	h.rosterFile = f.roster
	if h.running() {
		f.execute(h, h.process.machine.HandleRoster(f.now, h.rosterFile))
	}
}

// hostOf returns the host that a number's messages reach by the latest roster: a member's,
// or a leaving node's.
func (f *testFleet) hostOf(number int) *testHost {
	if number < len(f.roster.Nodes) {
		return f.hosts[f.roster.Nodes[number].Name]
	}
	for _, l := range f.roster.Leaving {
		if l.Number == number {
			return f.hosts[l.Name]
		}
	}
	return nil
}

// deliver delivers a message without taking it out of flight.
func (f *testFleet) deliver(i int) {
	m := f.inFlight[i]
	if h := f.hostOf(m.to); h != nil && h.running() {
		f.execute(h, h.process.machine.HandleAnnouncement(f.now, m.from, m.announcement))
	}
}

// tick lets 250 ms pass.
func (f *testFleet) tick() {
	f.now = f.now.Add(250 * time.Millisecond)
	for _, name := range f.hostNames() {
		if h := f.hosts[name]; h.running() {
			f.execute(h, h.process.machine.Tick(f.now))
		}
	}
}

// settle lets 15 s pass in which each message arrives, once, before the next tick.
func (f *testFleet) settle() {
	const ticks = 60
	for range ticks {
		f.tick()
		n := len(f.inFlight)
		for i := range n {
			f.deliver(i)
		}
		f.inFlight = f.inFlight[n:]
		f.checkInvariants()
	}
}
