package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func testNodes(names ...string) (list []Node) {
	for i, n := range names {
		list = append(list, Node{n, fmt.Sprintf("10.0.0.%d:%d", i, len(n))})
	}
	return list
}

func TestRosterValidation(t *testing.T) {
	for _, c := range []struct {
		r    Roster
		want string
	}{
		{Roster{Epoch: 1, Nodes: testNodes("a", "b")}, ""},
		{Roster{Epoch: 2, Nodes: testNodes("a"), Leaving: []LeavingNode{{1, Node{"b", "x"}}}}, ""},
		{Roster{Nodes: testNodes("a")}, "epoch is 0"},
		{Roster{Epoch: 1}, "no node"},
		{Roster{Epoch: 1, Nodes: testNodes("a", "a")}, "stands twice"},
		{Roster{Epoch: 1, Nodes: []Node{{"a", "x"}, {"b", "x"}}}, "another's"},
		{Roster{Epoch: 2, Nodes: testNodes("a"), Leaving: []LeavingNode{{1, Node{"a", "x"}}}}, "stands twice"},
		{Roster{Epoch: 2, Nodes: testNodes("a", "b"), Leaving: []LeavingNode{{1, Node{"c", "x"}}}}, "must be gone first"},
		{Roster{Epoch: 2, Nodes: testNodes("a"), RemovedNames: []string{"a"}}, "in the roster and gone"},
	} {
		err := c.r.Validate()
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %v, want %q", c.r, err, c.want)
		}
	}
}

// The roster that follows keeps who is leaving, and numbers.
func TestNextRosterKeepsNumbersAndLeavingNodes(t *testing.T) {
	r := Roster{Epoch: 1, Nodes: testNodes("a", "b", "c")}
	r, err := r.Next(testNodes("a"), nil)
	if err != nil || len(r.Leaving) != 2 {
		t.Fatalf("%+v, %v", r, err)
	}
	if _, err := r.Next(testNodes("a", "d"), nil); err == nil {
		t.Error("the number of one that is leaving was given away")
	}
	if _, err := r.Next(testNodes("a", "c"), nil); err == nil {
		t.Error("a node came back under another number")
	}
	r, err = r.Next(testNodes("a", "d"), []string{"b"})
	if err != nil || len(r.Leaving) != 1 || r.Leaving[0].Name != "c" || r.Leaving[0].Number != 2 {
		t.Fatalf("%+v, %v", r, err)
	}
	if r, err = r.Next(testNodes("a", "d", "c"), nil); err != nil || len(r.Leaving) != 0 || r.Epoch != 4 {
		t.Fatalf("%+v, %v", r, err)
	}
}

// testProcess is one process of a node, with what the module was last told.
type testProcess struct {
	machine                *StateMachine
	gateways, previousSize int
	stopped                bool
	needsAction            int // notes that need someone
}

// testHost is where a node's processes run.
type testHost struct {
	name       string
	snapshot   Snapshot
	rosterFile Roster // as this machine has it
	process    *testProcess
}

type testMessage struct {
	from, to     int
	announcement Announcement
}

type testFleet struct {
	t          *rapid.T
	now        time.Time
	hosts      map[string]*testHost
	roster     Roster // the operators' latest
	inFlight   []testMessage
	namesGiven int
}

func (w *testFleet) execute(a *testHost, acts []Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case FleetResized:
			// As the module does: an older size before, while a change is under way, stays.
			if act.PreviousSize == 0 {
				a.process.previousSize = 0
			} else if a.process.previousSize == 0 {
				a.process.previousSize = act.PreviousSize
			}
			a.process.gateways = act.Gateways
		case SaveSnapshot:
			a.snapshot = act.Snapshot
		case SendAnnouncement:
			w.inFlight = append(w.inFlight, testMessage{a.process.machine.Number(), act.To, act.Announcement})
		case OperatorNote:
			if act.NeedsAction {
				a.process.needsAction++
			}
		}
	}
}

func shareOf(number, gateways int) float64 {
	if number < 0 || gateways <= 0 || number >= gateways {
		return 0
	}
	return 1 / float64(gateways)
}

// share is the part of a ceiling that a machine's process may let pass.
func (a *testHost) share() float64 {
	if a.process == nil || a.process.gateways == 0 {
		return 0
	}
	now := shareOf(a.process.machine.Number(), a.process.gateways)
	if a.process.previousSize == 0 {
		return now
	}
	return min(now, shareOf(a.process.machine.Number(), a.process.previousSize))
}

func (w *testFleet) checkInvariants() {
	sum := 0.0
	acting := map[int]string{}
	for _, name := range w.hostNames() {
		a := w.hosts[name]
		sum += a.share()
		if a.share() > 0 {
			if other, twice := acting[a.process.machine.Number()]; twice {
				w.t.Fatalf("%s and %s act under number %d", name, other, a.process.machine.Number())
			}
			acting[a.process.machine.Number()] = name
		}
	}
	if sum > 1+1e-9 {
		w.t.Fatalf("the parts sum to %v", sum)
	}
}

func (w *testFleet) hostNames() (list []string) {
	for n := range w.hosts {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}

func (w *testFleet) start(a *testHost) {
	a.process = &testProcess{machine: NewStateMachine(Settings{Name: a.name, Snapshot: a.snapshot})}
	w.execute(a, a.process.machine.EndpointsReady())
	w.execute(a, a.process.machine.HandleRoster(w.now, a.rosterFile))
	w.execute(a, a.process.machine.StartServing())
}

// hostOf is the machine that a number's letters reach by the latest roster, or, for
// those on their way out, by the one before.
func (w *testFleet) hostOf(number int) *testHost {
	if number < len(w.roster.Nodes) {
		return w.hosts[w.roster.Nodes[number].Name]
	}
	for _, l := range w.roster.Leaving {
		if l.Number == number {
			return w.hosts[l.Name]
		}
	}
	return nil
}

func (w *testFleet) deliver(i int) {
	l := w.inFlight[i]
	if a := w.hostOf(l.to); a != nil && a.process != nil && !a.process.stopped {
		w.execute(a, a.process.machine.HandleAnnouncement(w.now, l.from, l.announcement))
	}
}

func (w *testFleet) tick() {
	w.now = w.now.Add(250 * time.Millisecond)
	for _, name := range w.hostNames() {
		if a := w.hosts[name]; a.process != nil && !a.process.stopped {
			w.execute(a, a.process.machine.Tick(w.now))
		}
	}
}

// Nodes join, leave, are replaced, crash, stop and go on; rosters reach machines
// late and some epochs never; letters are lost, late, doubled and out of order. At no
// moment do two act under one number, or parts sum to more than the whole. Once it is
// quiet all agree, and the parts sum to the whole again.
func TestSharesNeverExceedTheWholeInRandomSeries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &testFleet{t: t, now: testStart, hosts: map[string]*testHost{}}
		add := func() Node {
			w.namesGiven++
			n := Node{fmt.Sprint("n", w.namesGiven), fmt.Sprint("10.0.0.1:", w.namesGiven)}
			w.hosts[n.Name] = &testHost{name: n.Name}
			return n
		}
		w.roster = Roster{Epoch: 1, Nodes: []Node{add(), add(), add()}}
		for _, name := range w.hostNames() {
			w.hosts[name].rosterFile = w.roster
			w.start(w.hosts[name])
		}
		pick := func(t *rapid.T) *testHost { return w.hosts[rapid.SampledFrom(w.hostNames()).Draw(t, "machine")] }
		// An operator changes the roster by epochs, whoever has read the last one.
		change := func(list []Node, gone ...string) {
			r, err := w.roster.Next(list, gone)
			if err != nil {
				t.Fatal(err)
			}
			w.roster = r
		}
		// A number that one who leaves may still hold can only be its own again.
		join := func(list []Node) []Node {
			for _, l := range w.roster.Leaving {
				if l.Number == len(list) {
					return append(list, l.Node)
				}
			}
			return append(list, add())
		}
		t.Repeat(map[string]func(*rapid.T){
			"grow": func(t *rapid.T) {
				n := rapid.IntRange(1, 3).Draw(t, "by")
				list := slices.Clone(w.roster.Nodes)
				for range n {
					list = join(list)
				}
				change(list)
			},
			"shrink": func(t *rapid.T) {
				if n := len(w.roster.Nodes); n > 1 {
					change(w.roster.Nodes[:n-rapid.IntRange(1, n-1).Draw(t, "by")])
				}
			},
			"replace": func(t *rapid.T) {
				i := rapid.IntRange(0, len(w.roster.Nodes)-1).Draw(t, "number")
				old := w.hosts[w.roster.Nodes[i].Name]
				old.process = nil // the operators made sure
				list := slices.Clone(w.roster.Nodes)
				list[i] = add()
				change(list, old.name)
				delete(w.hosts, old.name)
			},
			"read": func(t *rapid.T) {
				a := pick(t)
				if a.rosterFile = w.roster; a.process != nil && !a.process.stopped {
					w.execute(a, a.process.machine.HandleRoster(w.now, a.rosterFile))
				}
			},
			"start": func(t *rapid.T) {
				if a := pick(t); a.process == nil && a.rosterFile.Epoch > 0 {
					w.start(a)
				}
			},
			"kill": func(t *rapid.T) { pick(t).process = nil },
			"stop": func(t *rapid.T) {
				if a := pick(t); a.process != nil {
					a.process.stopped = !a.process.stopped
				}
			},
			"drain": func(t *rapid.T) {
				if a := pick(t); a.process != nil && !a.process.stopped {
					w.execute(a, a.process.machine.StartDraining())
				}
			},
			"tick": func(t *rapid.T) { w.tick() },
			"mail": func(t *rapid.T) {
				for n := len(w.inFlight); n > 0; n-- {
					i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "letter")
					switch rapid.IntRange(0, 3).Draw(t, "fate") {
					case 0: // lost
						w.inFlight = slices.Delete(w.inFlight, i, i+1)
					case 1: // and later once more
						w.deliver(i)
					default:
						w.deliver(i)
						w.inFlight = slices.Delete(w.inFlight, i, i+1)
					}
					w.checkInvariants()
				}
			},
			"": func(t *rapid.T) { w.checkInvariants() },
		})
		// Quiet: all of the roster run, have read it and hear each other.
		inRoster := func(name string) bool { return w.roster.numberOf(name) >= 0 }
		for _, name := range w.hostNames() {
			a := w.hosts[name]
			if !inRoster(name) {
				a.process = nil // taken away; if it never said so, it is vouched for below
				continue
			}
			if a.rosterFile = w.roster; a.process == nil {
				w.start(a)
			}
			a.process.stopped = false
			w.execute(a, a.process.machine.HandleRoster(w.now, a.rosterFile))
		}
		settle := func() {
			for range 60 {
				w.tick()
				for mail := w.inFlight; len(mail) > 0; mail = nil {
					w.inFlight = append([]testMessage(nil), mail...)
					n := len(w.inFlight)
					for i := range n {
						w.deliver(i)
					}
					w.inFlight = w.inFlight[n:]
				}
				w.checkInvariants()
			}
		}
		settle()
		var gone []string // what left and never said so is vouched for
		for _, l := range w.roster.Leaving {
			gone = append(gone, l.Name)
		}
		change(w.roster.Nodes, gone...)
		for range 3 { // an epoch each, since one waits for the last
			for _, name := range w.hostNames() {
				if a := w.hosts[name]; a.process != nil {
					a.rosterFile = w.roster
					w.execute(a, a.process.machine.HandleRoster(w.now, a.rosterFile))
				}
			}
			settle()
		}
		sum := 0.0
		for _, n := range w.roster.Nodes {
			a := w.hosts[n.Name]
			sum += a.share()
			if !a.process.machine.ChangeComplete() || a.process.gateways != len(w.roster.Nodes) {
				t.Fatalf("%s: over %v, %d of %d nodes; missing %v", n.Name, a.process.machine.ChangeComplete(), a.process.gateways, len(w.roster.Nodes), a.process.machine.laggards())
			}
		}
		if sum < 1-1e-9 {
			t.Fatalf("the parts sum to %v once all is quiet", sum)
		}
	})
}

// A change that a dead node holds up is said so, and ends when it is vouched for.
func TestChangeWaitsForEveryNodeUntilItIsRemoved(t *testing.T) {
	m := NewStateMachine(Settings{Name: "a"})
	said := func(acts []Action, what string) bool {
		return slices.ContainsFunc(acts, func(a Action) bool {
			n, ok := a.(OperatorNote)
			return ok && strings.Contains(n.Text, what)
		})
	}
	now := testStart
	m.HandleRoster(now, Roster{Epoch: 1, Nodes: testNodes("a", "b", "c")})
	r := *m.accepted
	change := func(list []Node, gone ...string) []Action {
		var err error
		if r, err = r.Next(list, gone); err != nil {
			t.Fatal(err)
		}
		return m.HandleRoster(now, r)
	}
	change(testNodes("a", "b", "c", "d"))
	m.HandleAnnouncement(now, 1, Announcement{Epoch: 2, Stage: StageMinimumShares})
	m.HandleAnnouncement(now, 3, Announcement{Epoch: 2, Stage: StageMinimumShares})
	now = now.Add(31 * time.Second)
	if !said(m.Tick(now), "numbers [2] have not said it") || m.ChangeComplete() {
		t.Error("nobody is told who holds the change up")
	}
	if change(testNodes("a", "b", "c", "d", "e")); m.ChangeComplete() || m.accepted.Epoch != 2 {
		t.Error("an epoch was taken before the last change was over")
	}
	if !said(m.HandleRoster(now, Roster{Epoch: 1, Nodes: testNodes("a")}), "left aside") {
		t.Error("an old roster was taken")
	}
	if change(testNodes("a", "b", "f", "d"), "c"); m.accepted.Epoch != 4 {
		t.Error("the change was not over when who held it up was vouched for")
	}
	for _, s := range []Stage{StageReceived, StageMinimumShares} {
		m.HandleAnnouncement(now, 1, Announcement{Epoch: 4, Stage: s})
		m.HandleAnnouncement(now, 2, Announcement{Epoch: 4, Stage: s})
		m.HandleAnnouncement(now, 3, Announcement{Epoch: 4, Stage: s})
	}
	if m.ChangeComplete() {
		t.Error("over without number 4, which leaves")
	}
	if m.HandleAnnouncement(now, 4, Announcement{Epoch: 3, Phase: Stopped}); !m.ChangeComplete() {
		t.Error("who has left holds the change up")
	}
}

// The life of a node goes one way.
func TestPhasesOnlyAdvance(t *testing.T) {
	m := NewStateMachine(Settings{Name: "a"})
	if m.StartServing(); m.Phase() != Starting {
		t.Error("serving before it is ready")
	}
	m.EndpointsReady()
	if m.Phase() != Starting {
		t.Error("ready without a roster")
	}
	m.HandleRoster(testStart, Roster{Epoch: 1, Nodes: testNodes("a", "b")})
	if m.Phase() != Ready {
		t.Error("not ready")
	}
	m.StartServing()
	if acts := m.StartDraining(); m.Phase() != Draining || len(acts) != 2 {
		t.Errorf("%v after %v", m.Phase(), acts)
	}
	if m.StartServing(); m.Phase() != Draining {
		t.Error("a draining node serves again")
	}
	if m.Stop(); m.Phase() != Stopped {
		t.Error("not gone")
	}
	other := NewStateMachine(Settings{Name: "x"})
	other.EndpointsReady()
	if other.HandleRoster(testStart, Roster{Epoch: 1, Nodes: testNodes("a", "b")}); other.Phase() != Starting {
		t.Error("ready though it is in no roster")
	}
}

// A fleet of two grows to four and shrinks again. The two of the beginning take the
// second change before the first is over for them, or never read the first: what they
// hold must fit beside the parts that the others got by the first.
func TestOverlappingChangesKeepSharesWithinTheWhole(t *testing.T) {
	for variant := range 3 {
		missed, deaf := variant == 1, variant == 2
		rapid.Check(t, func(rt *rapid.T) {
			w := &testFleet{t: rt, now: testStart, hosts: map[string]*testHost{}}
			list := testNodes("a", "b", "c", "d")
			w.roster = Roster{Epoch: 1, Nodes: list[:2]}
			for _, n := range list {
				w.hosts[n.Name] = &testHost{name: n.Name, rosterFile: w.roster}
			}
			read := func(names ...string) {
				for _, name := range names {
					a := w.hosts[name]
					if a.rosterFile = w.roster; a.process == nil {
						w.start(a)
					}
					w.execute(a, a.process.machine.HandleRoster(w.now, a.rosterFile))
				}
				w.checkInvariants()
			}
			// Words reach those named alone.
			mail := func(names ...string) {
				w.tick()
				for i, l := range w.inFlight {
					if a := w.hostOf(l.to); a != nil && slices.Contains(names, a.name) {
						w.deliver(i)
						w.checkInvariants()
					}
				}
				w.inFlight = nil
			}
			read("a", "b")
			second, err := w.roster.Next(list, nil)
			if err != nil {
				rt.Fatal(err)
			}
			w.roster = second
			if read("c", "d"); !missed {
				read("a", "b")
				if deaf {
					for range 3 {
						mail("a", "c", "d") // b hears nothing, and holds its old part
					}
					return
				}
				mail("a", "b") // both hold the smaller parts now, and don't know it of each other
				for range 3 {
					mail("c", "d") // for them the change is over
				}
			}
			third, err := second.Next(list[:2], nil)
			if err != nil {
				rt.Fatal(err)
			}
			w.roster = third
			read("a", "b")
			for range 3 {
				mail("c", "d")
			}
			if w.hosts["c"].share() == 0 {
				rt.Fatal("the test does not get where it means to")
			}
			read("c", "d")
			for range 3 {
				mail("a")
			}
			for range 6 {
				mail("a", "b", "c", "d")
			}
			if sum := w.hosts["a"].share() + w.hosts["b"].share(); sum < 1-1e-9 {
				rt.Fatalf("once all have heard the parts sum to %v", sum)
			}
		})
	}
}
