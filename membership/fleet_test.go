package membership

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// testFleet simulates a fleet of hosts, the operators' latest roster and the messages in flight, with
// a simulated clock.
type testFleet struct {
	t         *rapid.T
	now       time.Time
	hosts     map[string]*testHost
	roster    Roster // latest roster of the operators
	inFlight  []testMessage
	hostCount int
}

// testHost is a host that runs the processes of one node.
type testHost struct {
	name       string
	snapshot   Snapshot // last saved snapshot
	rosterFile Roster   // roster last copied to the host
	process    *testProcess
}

// testProcess is one process of a node, with the fleet sizes last set in its quota policy.
type testProcess struct {
	machine      *StateMachine
	gateways     int
	previousSize int
	suspended    bool // stopped by SIGSTOP
	warnings     int  // number of log events that need action
}

type testMessage struct {
	from, to     int
	announcement Announcement
}

// running reports whether the host has a process that is not suspended.
func (h *testHost) running() bool { return h.process != nil && !h.process.suspended }

// resize sets the sizes like the quota policy: while a change is in progress, the size before that
// change is kept.
func (p *testProcess) resize(a FleetResized) {
	if a.PreviousSize == 0 {
		p.previousSize = 0
	} else if p.previousSize == 0 {
		p.previousSize = a.PreviousSize
	}
	p.gateways = a.Gateways
}

// share returns the fraction of a hard ceiling that the host's process enforces.
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

// checkInvariants fails the test if two hosts that enforce a share have the same number, or if the
// shares sum to more than the ceiling.
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
		if other, duplicate := acting[number]; duplicate {
			f.t.Fatalf("%s and %s both have number %d", name, other, number)
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

// addHost adds a host without a process, and returns its node.
func (f *testFleet) addHost() Node {
	f.hostCount++
	n := testNode(f.hostCount)
	f.hosts[n.Name] = &testHost{name: n.Name}
	return n
}

// start starts a process on a host. The process reads the host's roster file.
func (f *testFleet) start(h *testHost) {
	h.process = &testProcess{machine: NewStateMachine(Settings{Name: h.name, Snapshot: h.snapshot})}
	f.execute(h, h.process.machine.EndpointsReady())
	f.execute(h, h.process.machine.HandleRoster(f.now, h.rosterFile))
	f.execute(h, h.process.machine.StartServing())
}

// change creates the roster of the next epoch, regardless of which hosts have read the previous one.
func (f *testFleet) change(nodes []Node, removed ...string) {
	r, err := f.roster.Next(nodes, removed)
	if err != nil {
		f.t.Fatal(err)
	}
	f.roster = r
}

// copyRoster copies the latest roster to a host. The host's process reads it if it is running.
func (f *testFleet) copyRoster(h *testHost) {
	h.rosterFile = f.roster
	if h.running() {
		f.execute(h, h.process.machine.HandleRoster(f.now, h.rosterFile))
	}
}

// hostOf returns the host that messages to a number reach according to the latest roster: the host of
// a member or of a leaving node. It returns nil if the number is not assigned.
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

// deliver delivers a message and leaves it in flight.
func (f *testFleet) deliver(i int) {
	m := f.inFlight[i]
	if h := f.hostOf(m.to); h != nil && h.running() {
		f.execute(h, h.process.machine.HandleAnnouncement(f.now, m.from, m.announcement))
	}
}

// tick advances the clock by 250 ms and ticks all running processes.
func (f *testFleet) tick() {
	f.now = f.now.Add(250 * time.Millisecond)
	for _, name := range f.hostNames() {
		if h := f.hosts[name]; h.running() {
			f.execute(h, h.process.machine.Tick(f.now))
		}
	}
}

// settle simulates 15 s in which each message is delivered exactly once, before the next tick.
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
