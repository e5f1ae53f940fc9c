package membership

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// hasLogEvent reports whether one of the actions is a LogEvent with a message and an attribute for
// which matches returns true.
func hasLogEvent(actions []Action, message string, matches func(Attribute) bool) bool {
	return slices.ContainsFunc(actions, func(a Action) bool {
		event, ok := a.(LogEvent)
		return ok && event.Message == message && slices.ContainsFunc(event.Attributes, matches)
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

// Guards against a change that completes without a node that may still enforce its previous share. A
// change that waits for a dead node is logged, and completes when operators remove the node.
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
		t.Error("no log event lists the node that the change waits for")
	}
	if change(testNodes("a", "b", "c", "d", "e")); m.ChangeComplete() || m.accepted.Epoch != 2 {
		t.Error("an epoch was accepted before the previous change was complete")
	}
	old := Roster{Epoch: 1, Nodes: testNodes("a")}
	if !hasLogEvent(m.HandleRoster(now, old), "roster rejected", isStaleEpoch) {
		t.Error("an old roster was accepted")
	}
	if change(testNodes("a", "b", "f", "d"), "c"); m.accepted.Epoch != 4 {
		t.Error("the change did not complete when the node it waited for was removed")
	}
	for _, s := range []Stage{StageReceived, StageMinimumShares} {
		for _, from := range []int{1, 2, 3} {
			m.HandleAnnouncement(now, from, Announcement{Epoch: 4, Stage: s})
		}
	}
	if m.ChangeComplete() {
		t.Error("complete without node 4, which is leaving")
	}
	if m.HandleAnnouncement(now, 4, Announcement{Epoch: 3, Phase: Stopped}); !m.ChangeComplete() {
		t.Error("the change waits for a stopped node")
	}
}

// overlapScenario simulates two overlapping changes: a fleet of two nodes grows to four and shrinks
// again.
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

// readRoster makes the named hosts read the latest roster.
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

// deliverTo ticks once, and delivers messages only to the named hosts. All other messages are lost.
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

// Guards against shares that sum to more than the ceiling when a change follows before the previous
// one is complete on all nodes, or was never read by some: the first two nodes must not enforce
// larger shares while the other two still enforce theirs from the first change.
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
		o.deliverTo("a", "b") // both enforce the smaller shares, but neither knows it of the other
		for range 3 {
			o.deliverTo("c", "d") // the change is complete for c and d
		}
	}
	o.change(o.all[:2])
	o.readRoster("a", "b")
	for range 3 {
		o.deliverTo("c", "d")
	}
	if o.hosts["c"].share() == 0 {
		t.Fatal("the scenario did not reach the state under test: c enforces no share")
	}
	o.readRoster("c", "d")
	for range 3 {
		o.deliverTo("a")
	}
	for range 6 {
		o.deliverTo("a", "b", "c", "d")
	}
	if sum := o.hosts["a"].share() + o.hosts["b"].share(); sum < 1-1e-9 {
		t.Fatalf("after all messages were delivered, the shares sum to %v", sum)
	}
}

// runIsolatedNode runs a change during which b receives no message, so that it keeps its previous
// share.
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

// Guards against a node that enforces a share after a restart during a change. It cannot know which
// shares other nodes enforce, so it must enforce none until the change is complete.
func TestRestartDuringChangeEnforcesNoShare(t *testing.T) {
	roster := Roster{Epoch: 2, Nodes: testNodes("a"), Leaving: []LeavingNode{{1, Node{"b", "x"}}}}
	restarted := func(s Snapshot) *testHost {
		m := NewStateMachine(Settings{Name: "a", Snapshot: s})
		h := &testHost{process: &testProcess{machine: m}}
		(&testFleet{}).execute(h, m.HandleRoster(testStart, roster))
		return h
	}
	if h := restarted(Snapshot{Epoch: 2}); h.share() != 0 || h.process.machine.ChangeComplete() {
		t.Errorf("share %v after a restart during the change, want 0", h.share())
	}
	if h := restarted(Snapshot{Epoch: 2, ChangeComplete: true}); h.share() != 1 || !h.process.machine.ChangeComplete() {
		t.Errorf("share %v after a restart with a complete change, want 1", h.share())
	}
}

// Guards against a delayed announcement that reverts the recorded epoch or stage of a peer.
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
		t.Errorf("recorded state of peer 1 is %+v, want %+v", got, want)
	}
}

// Guards against a delayed announcement that reverts the Stopped phase of a leaving node: the change
// would wait for the node forever. If the node has restarted, the change must wait for it again.
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
				t.Errorf("unexpected result: change complete is %v", m.ChangeComplete())
			}
		})
	}
}
