package membership

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// hasLogEvent reports whether one of the actions is a note with a message, and with an
// attribute that holds.
func hasLogEvent(actions []Action, message string, holds func(Attribute) bool) bool {
	return slices.ContainsFunc(actions, func(a Action) bool {
		n, ok := a.(LogEvent)
		return ok && n.Message == message && slices.ContainsFunc(n.Attributes, holds)
	})
}

func isStaleEpoch(a Attribute) bool {
	err, ok := a.Value.(error)
	var stale *StaleEpochError
	return ok && errors.As(err, &stale)
}

func namesOnlyNumber2(a Attribute) bool {
	numbers, ok := a.Value.([]int)
	return ok && a.Key == "numbers" && slices.Equal(numbers, []int{2})
}

// A change that a dead node holds up is noted, and completes when the node is removed.
func TestChangeWaitsForEveryNodeUntilItIsRemoved(t *testing.T) {
	m := NewStateMachine(Settings{Name: "a"})
	now := testStart
	m.HandleRoster(now, Roster{Epoch: 1, Nodes: testNodes("a", "b", "c")})
	r := *m.accepted
	change := func(list []Node, removed ...string) {
		t.Helper()
		var err error
		if r, err = r.Next(list, removed); err != nil {
			t.Fatal(err)
		}
		m.HandleRoster(now, r)
	}
	change(testNodes("a", "b", "c", "d"))
	m.HandleAnnouncement(now, 1, Announcement{Epoch: 2, Stage: StageMinimumShares})
	m.HandleAnnouncement(now, 3, Announcement{Epoch: 2, Stage: StageMinimumShares})
	now = now.Add(31 * time.Second)
	const waiting = "membership change waiting for nodes; their quota shares stay reserved"
	if !hasLogEvent(m.Tick(now), waiting, namesOnlyNumber2) || m.ChangeComplete() {
		t.Error("no note says which node the change waits for")
	}
	if change(testNodes("a", "b", "c", "d", "e")); m.ChangeComplete() || m.accepted.Epoch != 2 {
		t.Error("an epoch was accepted before the last change was complete")
	}
	old := Roster{Epoch: 1, Nodes: testNodes("a")}
	if !hasLogEvent(m.HandleRoster(now, old), "roster rejected", isStaleEpoch) {
		t.Error("an old roster was accepted")
	}
	if change(testNodes("a", "b", "f", "d"), "c"); m.accepted.Epoch != 4 {
		t.Error("the change was not complete when the node it waited for was removed")
	}
	for _, s := range []Stage{StageReceived, StageMinimumShares} {
		for _, from := range []int{1, 2, 3} {
			m.HandleAnnouncement(now, from, Announcement{Epoch: 4, Stage: s})
		}
	}
	if m.ChangeComplete() {
		t.Error("complete without number 4, which is leaving")
	}
	if m.HandleAnnouncement(now, 4, Announcement{Epoch: 3, Phase: Stopped}); !m.ChangeComplete() {
		t.Error("a stopped node holds the change up")
	}
}

// overlapScenario plays two changes in a fleet of two, which grows to four and shrinks again.
type overlapScenario struct {
	*testFleet
	all []Node
}

func newOverlapScenario(t *rapid.T) *overlapScenario {
	f := &testFleet{t: t, now: testStart, hosts: map[string]*testHost{}}
	o := &overlapScenario{f, testNodes("a", "b", "c", "d")}
	f.roster = Roster{Epoch: 1, Nodes: o.all[:2]}
	for _, n := range o.all {
		f.hosts[n.Name] = &testHost{name: n.Name, rosterFile: f.roster}
	}
	return o
}

// readRoster has the hosts named readRoster the latest roster.
func (o *overlapScenario) readRoster(names ...string) {
	for _, name := range names {
		h := o.hosts[name]
		h.rosterFile = o.roster
		if h.process == nil {
			o.start(h)
		}
		o.execute(h, h.process.machine.HandleRoster(o.now, h.rosterFile))
	}
	o.checkInvariants()
}

// deliverTo ticks once, and delivers messages only to the hosts named; the rest are lost.
func (o *overlapScenario) deliverTo(names ...string) {
	o.tick()
	for i, msg := range o.inFlight {
		if h := o.hostOf(msg.to); h != nil && slices.Contains(names, h.name) {
			o.deliver(i)
			o.checkInvariants()
		}
	}
	o.inFlight = nil
}

// The first two nodes accept the second change before the first is complete for them, or
// never read the first: the shares that they enforce must fit beside those that the others
// got by the first.
func TestOverlappingChangesKeepShareSumWithinCeiling(t *testing.T) {
	t.Run("first change incomplete", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) { runOverlappingChanges(rt, false) })
	})
	t.Run("first change missed", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) { runOverlappingChanges(rt, true) })
	})
	t.Run("one node isolated", func(t *testing.T) {
		rapid.Check(t, runIsolatedNode)
	})
}

func runOverlappingChanges(t *rapid.T, missed bool) {
	o := newOverlapScenario(t)
	o.readRoster("a", "b")
	o.change(o.all)
	o.readRoster("c", "d")
	if !missed {
		o.readRoster("a", "b")
		o.deliverTo("a", "b") // both enforce the smaller shares, and don't know it of each other
		for range 3 {
			o.deliverTo("c", "d") // for them the change is complete
		}
	}
	o.change(o.all[:2])
	o.readRoster("a", "b")
	for range 3 {
		o.deliverTo("c", "d")
	}
	if o.hosts["c"].share() == 0 {
		t.Fatal("the test does not reach the state it is about")
	}
	o.readRoster("c", "d")
	for range 3 {
		o.deliverTo("a")
	}
	for range 6 {
		o.deliverTo("a", "b", "c", "d")
	}
	if sum := o.hosts["a"].share() + o.hosts["b"].share(); sum < 1-1e-9 {
		t.Fatalf("once all messages have arrived the shares sum to %v", sum)
	}
}

// b receives nothing, and keeps its previous share.
func runIsolatedNode(t *rapid.T) {
	o := newOverlapScenario(t)
	o.readRoster("a", "b")
	o.change(o.all)
	o.readRoster("c", "d")
	o.readRoster("a", "b")
	for range 3 {
		o.deliverTo("a", "c", "d")
	}
}

// A node that restarts while a change is under way cannot know which shares others enforce:
// it enforces none until the change is complete.
func TestRestartDuringChangeEnforcesNoShare(t *testing.T) {
	roster := Roster{Epoch: 2, Nodes: testNodes("a"), Leaving: []LeavingNode{{1, Node{"b", "x"}}}}
	restarted := func(s Snapshot) *testHost {
		m := NewStateMachine(Settings{Name: "a", Snapshot: s})
		h := &testHost{process: &testProcess{machine: m}}
		(&testFleet{}).execute(h, m.HandleRoster(testStart, roster))
		return h
	}
	if h := restarted(Snapshot{Epoch: 2}); h.share() != 0 || h.process.machine.ChangeComplete() {
		t.Errorf("share %v after a restart during the change", h.share())
	}
	if h := restarted(Snapshot{Epoch: 2, ChangeComplete: true}); h.share() != 1 || !h.process.machine.ChangeComplete() {
		t.Errorf("share %v after a restart once the change was complete", h.share())
	}
}

// An announcement that arrives late takes nothing back.
func TestLateAnnouncementDoesNotRevertPeerState(t *testing.T) {
	m := NewStateMachine(Settings{Name: "a"})
	m.HandleRoster(testStart, Roster{Epoch: 1, Nodes: testNodes("a", "b", "c")})
	r, err := m.accepted.Next(testNodes("a", "b", "c", "d"), nil)
	if err != nil {
		t.Fatal(err)
	}
	m.HandleRoster(testStart, r)
	m.HandleAnnouncement(testStart, 1, Announcement{Epoch: 2, Stage: StageMinimumShares})
	m.HandleAnnouncement(testStart, 1, Announcement{Epoch: 1, Stage: StageComplete, Phase: Serving})
	m.HandleAnnouncement(testStart, 1, Announcement{Epoch: 2, Stage: StageReceived, Phase: Serving})
	if got, want := m.peers[1], (Announcement{Epoch: 2, Stage: StageMinimumShares, Phase: Serving}); got != want {
		t.Errorf("peer 1 counts as %+v, want %+v", got, want)
	}
}

// A late announcement does not take back that a leaving node has stopped, so a change goes on without it. A
// later process of that node is waited for again.
func TestLateAnnouncementDoesNotRevertStoppedPhase(t *testing.T) {
	for _, c := range []struct {
		name         string
		isRestarted  bool
		wantComplete bool
	}{{"late", false, true}, {"restarted", true, false}} {
		t.Run(c.name, func(t *testing.T) {
			m := NewStateMachine(Settings{Name: "a"})
			m.HandleRoster(testStart, Roster{Epoch: 1, Nodes: testNodes("a", "b", "c")})
			r, err := m.accepted.Next(testNodes("a", "b"), nil)
			if err != nil {
				t.Fatal(err)
			}
			m.HandleRoster(testStart, r)
			m.HandleAnnouncement(testStart, 2, Announcement{Epoch: 1, Stage: StageComplete, Phase: Stopped})
			if c.isRestarted {
				m.HandlePeerRestart(2)
			}
			m.HandleAnnouncement(testStart, 2, Announcement{Epoch: 1, Stage: StageComplete, Phase: Draining})
			m.HandleAnnouncement(testStart, 1, Announcement{Epoch: 2, Stage: StageComplete, Phase: Serving})
			if m.ChangeComplete() != c.wantComplete {
				t.Errorf("change complete: %v", m.ChangeComplete())
			}
		})
	}
}
